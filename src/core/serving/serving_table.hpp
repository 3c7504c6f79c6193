#pragma once

#include "core/crashes/server_life.hpp"
#include "core/serving/organisation_index.hpp"
#include "core/serving/route_index.hpp"

#include <roseworks/routing_table.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace roseworks
{

/// Data that all tables of one version of the configuration share.
struct servable_catalogue
{
    std::shared_ptr<const route_index> routes;
    std::shared_ptr<const organisation_index> organisations;
    /// Every model and adapter by its key, without engines.
    std::unordered_map<std::string, servable_routes> servables;
    /// Names of the services that have engines.
    std::unordered_set<std::string> engine_services;
};

/// The server that runs at an address now.
struct server_identity
{
    std::string instance; ///< id of the server's registry entry
    std::string service;
    std::string data_centre;
    server_life life;
    software_version software;
    engine_id engine;    ///< 0 for a plain server
    std::string address; ///< ip:port
};

/** The routing data for the traffic threads: routes, and the engines that can
    run each servable.

    Immutable. Models that no engine has loaded come from the catalogue, which
    all tables of a configuration share. So the size of a table depends on the
    resident models, not on the declared ones. The data is advisory.
*/
class serving_table final : public routing_table
{
public:
    struct parts
    {
        std::shared_ptr<const servable_catalogue> catalogue;
        std::unordered_map<std::string, servable_routes> resident;
        std::unordered_map<std::string, service_routes> services;
        /// Servers by address.
        std::unordered_map<std::string, server_identity> servers;
        /// Services of the servers that take new requests, by their software.
        std::unordered_map<software_version, std::string> services_by_software;
        /// Number of engines by service.
        std::unordered_map<std::string, std::uint16_t> engines;
        /// Expected load times of models that no engine has, by model key.
        std::unordered_map<std::string, instant> expected;
        bool placement_available = false; ///< a placement owner is active
    };

    explicit serving_table(parts content);

    const servable_routes* find_servable(std::string_view name) const override;
    const servable_routes* find_servable(servable_id id) const override;
    const service_routes* find_service(std::string_view name) const override;
    const caller_spec* find_caller(std::string_view name) const override;
    /// The table knows of no requests that crash servers: forwarding asks for
    /// them before each attempt.
    bool is_blocked(fingerprint request) const override;
    bool is_suspect(fingerprint request) const override;
    software_version software_at(const std::string& address) const override;
    bool has_software(software_version software) const override;
    bool log_available() const override;
    std::optional<instant>
    expected_ready(std::string_view servable) const override;
    std::vector<std::string> servable_names() const override;

    /// @return The server that runs at an address, or null.
    const server_identity* find_server(const std::string& address) const;

    /// @return Addresses of other servers of the same service, at most `max`.
    std::vector<std::string>
    servers_beside(const std::string& address, std::size_t max) const;

    /// @return The service whose servers have this software; null if none of
    ///         them takes new requests.
    const std::string* find_service_of(software_version software) const;

    /// @return Whether the service consists of model engines.
    bool has_engines(std::string_view service) const;

    const route_index& routes() const
    {
        return *this->content.catalogue->routes;
    }

    const organisation_index& organisations() const
    {
        return *this->content.catalogue->organisations;
    }

private:
    parts content;
    caller_spec default_caller;
};

using serving_table_ptr = std::shared_ptr<const serving_table>;

} // namespace roseworks
