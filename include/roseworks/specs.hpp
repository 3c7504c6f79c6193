#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/verdict.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace roseworks
{

/// What operators declare. Each spec is the content of one entity's record;
/// names are unique within a kind. Memory in MiB, times in milliseconds.

/// A base model at one version.
struct model_spec
{
    std::string version = "1";
    std::uint32_t memory_mib = 0;
    std::uint16_t min_replicas = 0; ///< kept ready even when idle
    std::uint16_t max_replicas = 1; ///< never exceeded
    std::uint16_t accelerators = 1; ///< held by one replica
    std::uint16_t max_streams = 8;  ///< concurrent requests a replica takes
    std::uint32_t load_estimate_ms = 10000; ///< from remote, at full speed

    bool operator==(const model_spec&) const = default;
};

/// An adapter, loaded beside a replica of its base model.
struct adapter_spec
{
    std::string base; ///< name of the base model
    std::string version = "1";
    std::uint32_t memory_mib = 0;
    std::uint16_t min_replicas = 0;
    std::uint16_t max_replicas = 1;
    std::uint32_t load_estimate_ms = 500;

    bool operator==(const adapter_spec&) const = default;
};

/// Whether an engine refuses orders with an old fencing number.
enum class fencing_kind : std::uint8_t
{
    checks,
    ignores
};

/// A model engine on a backend server.
struct engine_spec
{
    std::string address; ///< ip:port
    std::string vm;      ///< name in the VM list
    std::string data_centre;
    std::uint32_t memory_mib = 0;
    std::uint16_t accelerators = 1;
    fencing_kind fencing = fencing_kind::ignores;
    bool checks_credential = false;
    bool draining = false; ///< operator's wish: no new work

    bool operator==(const engine_spec&) const = default;
};

/// One address of a plain service.
struct service_backend
{
    std::string address; ///< ip:port
    std::string vm;
    std::string data_centre;

    bool operator==(const service_backend&) const = default;
};

/// A plain service beside the engines.
struct service_spec
{
    std::vector<service_backend> backends;
    bool repeatable = false;        ///< calls may be sent again
    std::uint16_t max_streams = 64; ///< concurrent calls a backend takes

    bool operator==(const service_spec&) const = default;
};

/// A caller's class and limits.
struct caller_spec
{
    priority highest = priority::normal;
    std::uint32_t requests_per_second = 0; ///< 0: no limit
    std::uint32_t max_in_flight = 0;       ///< 0: no limit
    std::uint16_t weight = 1;              ///< share among callers

    bool operator==(const caller_spec&) const = default;
};

/// How replicas are held, evicted and loaded ahead; see
/// `make_placement_strategy`.
enum class placement_kind : std::uint8_t
{
    unset,      ///< each router's own setting
    fixed_ttl,  ///< one time to live for all, least recently used goes first
    break_even, ///< idle cost against reload cost, by the mean gap of uses
    gap_cost,   ///< what would have cost least over the past gaps
    gap_cost_preload ///< the same, and periodic callers' models loaded ahead
};

/// @return The word used in records and figures.
constexpr std::string_view to_string(placement_kind kind)
{
    switch (kind)
    {
    case placement_kind::unset:
        return "unset";
    case placement_kind::fixed_ttl:
        return "fixed_ttl";
    case placement_kind::break_even:
        return "break_even";
    case placement_kind::gap_cost:
        return "gap_cost";
    case placement_kind::gap_cost_preload:
        return "gap_cost_preload";
    }
    return "unset";
}

/// One deployment's policy; a single entity named `policy`.
struct policy_spec
{
    std::uint16_t idle_weight =
        50; ///< 0: only cold starts count, 100: only idle hours
    std::uint16_t store_slots = 4;
    std::uint16_t store_loads_per_second = 8;
    std::uint32_t claim_horizon_ms = 7'200'000;
    std::uint32_t crash_block_ms = 600'000;
    std::uint16_t crash_threshold = 2; ///< crashes before a request is blocked
    /// The same strategy on every router; since schema 3.
    placement_kind strategy = placement_kind::unset;
    /// Hold of a model that loads in 10 s at equal weights, or the fixed time
    /// to live; 0: each router's own setting. Since schema 3.
    std::uint32_t hold_ms = 0;

    bool operator==(const policy_spec&) const = default;
};

/// Kinds of entity that operators declare.
enum class entity_kind : std::uint8_t
{
    model = 1,
    adapter = 2,
    engine = 3,
    service = 4,
    caller = 5,
    policy = 6
};

/// A spec of any kind; the alternative's index + 1 is its `entity_kind`.
using entity_spec = std::variant<
    model_spec,
    adapter_spec,
    engine_spec,
    service_spec,
    caller_spec,
    policy_spec>;

/// @return The kind of the spec held.
inline entity_kind kind_of(const entity_spec& spec)
{
    return static_cast<entity_kind>(spec.index() + 1);
}

/// Newest schema of entity specs that this program reads and writes. In
/// schema 1 a model or adapter has one number `replicas`; it is read as
/// `max_replicas` with `min_replicas` 0. Before schema 3 a policy names no
/// placement strategy; it is read as `unset`.
inline constexpr std::uint16_t newest_entity_schema = 3;

} // namespace roseworks
