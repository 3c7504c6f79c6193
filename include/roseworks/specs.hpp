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

/// Specs are declared by operators. Each spec is the content of one entity's
/// record. Names are unique within a kind. Memory is in MiB, times are in
/// milliseconds.

/// A base model at one version.
struct model_spec
{
    std::string version = "1";
    std::uint32_t memory_mib = 0;
    std::uint16_t min_replicas = 0; ///< kept ready even if idle
    std::uint16_t max_replicas = 1; ///< never exceeded
    std::uint16_t accelerators = 1; ///< used by one replica
    std::uint16_t max_streams = 8;  ///< concurrent requests per replica
    /// Load time from the remote weight store at full speed.
    std::uint32_t load_estimate_ms = 10000;

    bool operator==(const model_spec&) const = default;
};

/// An adapter. It is loaded on the same engine as a replica of its base model.
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

/// Whether an engine checks fencing numbers and refuses orders with an old one.
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
    bool draining = false; ///< set by an operator: no new requests or loads

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

/// A plain service, which isn't a model engine.
struct service_spec
{
    std::vector<service_backend> backends;
    bool repeatable = false;        ///< calls may be retried
    std::uint16_t max_streams = 64; ///< concurrent calls per backend

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

/// How replicas are held, evicted and preloaded; see `make_placement_strategy`.
enum class placement_kind : std::uint8_t
{
    unset,     ///< the router's own setting applies
    fixed_ttl, ///< one time to live for all; evicts least recently used first
    /// Weighs idle cost against reload cost by the mean gap between uses.
    break_even,
    gap_cost, ///< the hold with the least cost over the past gaps between uses
    gap_cost_preload ///< as `gap_cost`, and preloads models of periodic callers
};

/// @return The word used in records and reports.
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

/// Policy of the deployment: a single entity named `policy`.
struct policy_spec
{
    /// 0: only cold starts count, 100: only idle hours.
    std::uint16_t idle_weight = 50;
    std::uint16_t store_slots = 4;
    std::uint16_t store_loads_per_second = 8;
    std::uint32_t claim_horizon_ms = 7'200'000;
    std::uint32_t crash_block_ms = 600'000;
    /// Crashes after which a request is blocked.
    std::uint16_t crash_threshold = 2;
    /// The same strategy on every router; since schema 3.
    placement_kind strategy = placement_kind::unset;
    /// Hold of a model that loads in 10 s at equal weights, or the time to live
    /// of `fixed_ttl`; 0: the router's own setting applies. Since schema 3.
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
/// schema 1 a model or adapter has only a number `replicas`, which is read as
/// `max_replicas` with `min_replicas` 0. Before schema 3 a policy has no
/// placement strategy, which is read as `unset`.
inline constexpr std::uint16_t newest_entity_schema = 3;

} // namespace roseworks
