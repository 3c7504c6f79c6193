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

/// A ready replica that may be given requests.
struct route
{
    replica_id replica;
    engine_id engine;
    std::string address; ///< engine's ip:port
    std::string data_centre;
    std::string vm;
};

/// How to serve one model or adapter; 56 bytes, as there are tens of thousands.
struct servable_routes
{
    servable_id id;
    std::uint32_t load_estimate_ms = 0;
    std::uint16_t max_streams = 8; ///< per replica
    std::uint16_t max_replicas = 0;
    bool is_adapter = false;
    bool granted = false; ///< may be loaded while the log is away
    servable_name name;   ///< in a table: valid while the table lives
    std::vector<route> ready;
};

/// How to serve one plain service.
struct service_routes
{
    service_id id;
    std::string name;
    bool repeatable = false;
    std::uint16_t max_streams = 64;
    std::vector<service_backend> backends;
};

/** What traffic threads know of the decided state: an immutable snapshot.

    Shares unchanged entries with the table before it, so that a change costs
    the entries it touches and not the 87,000 others. A hint: it trails the
    fold by one publication.
*/
class routing_table
{
public:
    virtual ~routing_table() = default;

    /// @return The model or adapter, null when there is none of this name.
    virtual const servable_routes*
    find_servable(std::string_view name) const = 0;

    /// @return The servable of this id, null when there is none.
    virtual const servable_routes* find_servable(servable_id id) const = 0;

    /// @return The plain service, null when there is none of this name.
    virtual const service_routes* find_service(std::string_view name) const = 0;

    /// @return The caller's spec, null when there is no record of it.
    virtual const caller_spec* find_caller(std::string_view name) const = 0;

    /// @return Whether the request may not run for now.
    virtual bool is_blocked(fingerprint request) const = 0;

    /// @return Whether the request crashed a backend server once.
    virtual bool is_suspect(fingerprint request) const = 0;

    /// @return Whether the log could be read lately.
    virtual bool log_available() const = 0;

    /// @return When a servable that is nowhere can be ready, as planned by
    ///         whoever places it; empty: not known.
    virtual std::optional<instant>
    expected_ready(std::string_view /*servable*/) const
    {
        return std::nullopt;
    }

    /// @return Names of all models and adapters, sorted.
    virtual std::vector<std::string> servable_names() const = 0;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace roseworks
