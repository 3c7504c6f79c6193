#pragma once

#include "core/serving/organisation_index.hpp"
#include "core/serving/route_index.hpp"

#include <roseworks/routing_table.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace roseworks
{

/// What is the same for all tables of one version of the configuration.
struct servable_catalogue
{
    std::shared_ptr<const route_index> routes;
    std::shared_ptr<const organisation_index> organisations;
    /// Every model and adapter by its key, without a place to run.
    std::unordered_map<std::string, servable_routes> servables;
    /// Names of the services that have engines.
    std::unordered_set<std::string> engine_services;
};

/// Who answers at an address now.
struct server_identity
{
    std::string instance; ///< id of its entry
    std::string service;
    std::string data_centre;
};

/** What the traffic threads know: routes, and where each servable can run.

    Immutable. Models that are nowhere come from the catalogue, which all
    tables of a configuration share, so that a table costs what is resident
    and not what is declared. A hint.
*/
class serving_table final : public routing_table
{
public:
    struct parts
    {
        std::shared_ptr<const servable_catalogue> catalogue;
        std::unordered_map<std::string, servable_routes> resident;
        std::unordered_map<std::string, service_routes> services;
        std::unordered_map<std::string, server_identity>
            servers; ///< by address
        /// Engines that could hold a model, by service.
        std::unordered_map<std::string, std::uint16_t> engines;
        std::unordered_set<fingerprint> blocked;
        std::unordered_set<fingerprint> suspect;
        /// When models that no engine has can be there, by their keys.
        std::unordered_map<std::string, instant> expected;
        bool orders_possible = false; ///< a placement owner is at work
    };

    explicit serving_table(parts content);

    const servable_routes* find_servable(std::string_view name) const override;
    const servable_routes* find_servable(servable_id id) const override;
    const service_routes* find_service(std::string_view name) const override;
    const caller_spec* find_caller(std::string_view name) const override;
    bool is_blocked(fingerprint request) const override;
    bool is_suspect(fingerprint request) const override;
    bool log_available() const override;
    std::optional<instant>
    expected_ready(std::string_view servable) const override;
    std::vector<std::string> servable_names() const override;

    /// @return Who answers at an address, null when nobody is known to.
    const server_identity* find_server(const std::string& address) const;

    /// @return Whether a service's requests need a model.
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
    caller_spec everyone;
};

using serving_table_ptr = std::shared_ptr<const serving_table>;

} // namespace roseworks
