#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/servable_name.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// A ready replica to which requests may be sent.
struct route
{
    replica_id replica;
    engine_id engine;
    std::string address; ///< ip:port of the engine
    std::string data_centre;
    std::string vm;
};

/// Routes to one model or adapter. Kept at 56 bytes because a table has tens of
/// thousands of them.
struct servable_routes
{
    servable_id id;
    std::uint32_t load_estimate_ms = 0;
    std::uint16_t max_streams = 8; ///< per replica
    std::uint16_t max_replicas = 0;
    bool is_adapter = false;
    bool granted = false; ///< may be loaded while the log is unavailable
    servable_name name;   ///< in a table: valid as long as the table
    std::vector<route> ready;
};

/// Routes to one plain service.
struct service_routes
{
    service_id id;
    std::string name;
    bool repeatable = false;
    std::uint16_t max_streams = 64;
    std::vector<service_backend> backends;
};

/** Immutable snapshot of the decided state for traffic threads.

    Shares unchanged entries with the previous table, so the cost of a change
    depends on the entries that it affects and not on the other 87,000. A hint:
    it is one publication behind the fold.
*/
class routing_table
{
public:
    virtual ~routing_table() = default;

    /// @return The model or adapter; null if there is none of this name.
    virtual const servable_routes*
    find_servable(std::string_view name) const = 0;

    /// @return The servable of this id; null if there is none.
    virtual const servable_routes* find_servable(servable_id id) const = 0;

    /// @return The plain service; null if there is none of this name.
    virtual const service_routes* find_service(std::string_view name) const = 0;

    /// @return The caller's spec; null if the caller has no record.
    virtual const caller_spec* find_caller(std::string_view name) const = 0;

    /// @return Whether the request is blocked now.
    virtual bool is_blocked(fingerprint request) const = 0;

    /// @return Whether the request may have crashed a backend server.
    virtual bool is_suspect(fingerprint request) const = 0;

    /// @return The software of the server at an address; 0 if it isn't known.
    virtual software_version software_at(const std::string& /*address*/) const
    {
        return {};
    }

    /// @return Whether a server of this software takes new requests.
    virtual bool has_software(software_version /*software*/) const
    {
        return false;
    }

    /// @return Whether the log was read recently.
    virtual bool log_available() const = 0;

    /// @return The time at which a servable without a ready replica is planned
    ///         to be ready; empty if unknown.
    virtual std::optional<instant>
    expected_ready(std::string_view /*servable*/) const
    {
        return std::nullopt;
    }

    /// @return The names of all models and adapters, sorted.
    virtual std::vector<std::string> servable_names() const = 0;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace roseworks
