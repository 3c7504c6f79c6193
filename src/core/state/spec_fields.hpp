#pragma once

#include "core/state/record_fields.hpp"

#include <roseworks/specs.hpp>

#include <cstddef>
#include <cstdint>

/// Field lists of the entity specs by schema. `newest_entity_schema` is
/// written by default; schema 1 is read, and written for old readers.
namespace roseworks::detail
{

/// Enumerators of `placement_kind`.
inline constexpr std::size_t placement_kinds = 5;

/// Replica bounds: schema 1 has one number, the maximum.
template <class Io, class Spec>
void replica_fields(Io& io, Spec& value, std::uint16_t schema)
{
    if (schema >= 2)
        io.number(value.min_replicas);
    io.number(value.max_replicas);
}

template <class Io>
void fields(Io& io, field_of<Io, model_spec>& value, std::uint16_t schema)
{
    io.text(value.version);
    io.number(value.memory_mib);
    replica_fields(io, value, schema);
    io.number(value.accelerators);
    io.number(value.max_streams);
    io.number(value.load_estimate_ms);
}

template <class Io>
void fields(Io& io, field_of<Io, adapter_spec>& value, std::uint16_t schema)
{
    io.text(value.base);
    io.text(value.version);
    io.number(value.memory_mib);
    replica_fields(io, value, schema);
    io.number(value.load_estimate_ms);
}

template <class Io>
void fields(Io& io, field_of<Io, engine_spec>& value, std::uint16_t)
{
    io.text(value.address);
    io.text(value.vm);
    io.text(value.data_centre);
    io.number(value.memory_mib);
    io.number(value.accelerators);
    io.choice(value.fencing, 2);
    io.number(value.checks_credential);
    io.number(value.draining);
}

template <class Io>
void fields(Io& io, field_of<Io, service_spec>& value, std::uint16_t)
{
    io.list(
        value.backends,
        [&io](auto& backend)
        {
            io.text(backend.address);
            io.text(backend.vm);
            io.text(backend.data_centre);
        });
    io.number(value.repeatable);
    io.number(value.max_streams);
}

template <class Io>
void fields(Io& io, field_of<Io, caller_spec>& value, std::uint16_t)
{
    io.choice(value.highest, 3);
    io.number(value.requests_per_second);
    io.number(value.max_in_flight);
    io.number(value.weight);
}

/// What schema 3 added to the policy.
template <class Io>
void placement_fields(Io& io, field_of<Io, policy_spec>& value)
{
    io.choice(value.strategy, placement_kinds);
    io.number(value.hold_ms);
}

template <class Io>
void fields(Io& io, field_of<Io, policy_spec>& value, std::uint16_t schema)
{
    io.number(value.idle_weight);
    io.number(value.store_slots);
    io.number(value.store_loads_per_second);
    io.number(value.claim_horizon_ms);
    io.number(value.crash_block_ms);
    io.number(value.crash_threshold);
    if (schema >= 3)
        placement_fields(io, value);
}

} // namespace roseworks::detail
