#pragma once

#include "core/state/claim_store.hpp"
#include "core/state/duplicate_filter.hpp"
#include "core/state/engine_store.hpp"
#include "core/state/grant_store.hpp"
#include "core/state/named_store.hpp"
#include "core/state/operator_key_store.hpp"
#include "core/state/record_fields.hpp"
#include "core/state/replica_store.hpp"
#include "core/state/servable_store.hpp"
#include "core/state/session_store.hpp"
#include "core/state/suspicion_store.hpp"

#include <roseworks/fleet_state.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace roseworks::detail
{

/// The deployment's policy as it stands; the defaults until one is put.
struct policy_row
{
    policy_spec spec;
    revision current;
    bool readable = true;
};

/// The spec of an entity whose schema is newer than this program's.
struct unread_spec
{
    std::uint16_t schema = 0;
    std::vector<std::byte> bytes;
};

/// Everything the fold decides. Decided state.
struct fleet_data
{
    log_offset folded;
    stamp_ms log_time = 0;
    /// Log time before which no further weight-store slot starts.
    stamp_ms next_grant = 0;

    servable_store servables;
    engine_store engines;
    service_store services;
    caller_store callers;
    policy_row policy;
    /// By kind and interned id.
    std::map<std::pair<entity_kind, std::uint32_t>, unread_spec> unread;

    replica_store replicas;
    grant_store grants;
    session_store sessions;
    claim_store claims;
    suspicion_store suspects;
    duplicate_filter duplicates;
    operator_key_store operator_keys;

    /// @return The interned id of an existing entity, else 0. The policy's
    ///         is 1.
    std::uint32_t find(entity_kind kind, std::string_view name) const;

    /// @return Replicas of the servable that aren't gone or may be loaded
    ///         under a grant.
    std::size_t committed_replicas(servable_id id) const
    {
        return this->replicas.count_of(id) + this->grants.count_of(id);
    }

    /// @return The entity's revision, 0 when it doesn't exist.
    revision current(entity_kind kind, std::string_view name) const;
};

/// Name of the single policy entity.
inline constexpr std::string_view policy_name = "policy";

/// What a fold of one record needs beside the data.
struct fold_context
{
    fleet_data& data;
    log_offset offset;
    std::vector<state_change>& changes;

    /// Add an effect of this record.
    state_change& note(state_change::kind what)
    {
        state_change& change = this->changes.emplace_back();
        change.what = what;
        change.offset = this->offset;
        return change;
    }
};

/// @return The result of a record that took effect.
inline fold_result accept()
{
    return {};
}

/// @return The result of a record without effect.
inline fold_result reject(
    reject_reason reason, std::string detail, log_offset winner = log_offset())
{
    return {fold_status::rejected, reason, winner, std::move(detail)};
}

/// The policy lies among the other data in this schema; what later ones added
/// follows at the end, where snapshots of the first format have nothing.
inline constexpr std::uint16_t policy_schema_inside = 2;

/// Write everything but `folded`, in an order that only depends on the data.
template <class Writer>
void save(Writer& out, const fleet_data& data)
{
    out.time(data.log_time);
    out.time(data.next_grant);
    data.servables.save(out);
    data.engines.save(out);
    data.services.save(out);
    data.callers.save(out);
    fields(out, data.policy.spec, policy_schema_inside);
    out.number(data.policy.current);
    out.number(data.policy.readable);
    out.number(static_cast<std::uint32_t>(data.unread.size()));
    for (const auto& [key, spec] : data.unread)
    {
        out.number(static_cast<std::uint8_t>(key.first));
        out.number(key.second);
        out.number(spec.schema);
        out.bytes(spec.bytes);
    }
    data.replicas.save(out);
    data.sessions.save(out);
    data.claims.save(out);
    data.suspects.save(out);
    data.duplicates.save(out);
    data.operator_keys.save(out);
    data.grants.save(out);
    placement_fields(out, data.policy.spec);
}

/// Read what `save` wrote, in this format or an older one, into empty data;
/// faults are left in the reader.
template <class Reader>
void load(Reader& in, fleet_data& data, std::uint16_t format)
{
    in.time(data.log_time);
    in.time(data.next_grant);
    data.servables.load(in);
    data.engines.load(in);
    data.services.load(in);
    data.callers.load(in);
    fields(in, data.policy.spec, policy_schema_inside);
    in.number(data.policy.current);
    in.number(data.policy.readable);
    const std::size_t unread = in.length();
    for (std::size_t i = 0; i < unread && !in.failed(); ++i)
    {
        std::uint8_t kind = 0;
        std::uint32_t id = 0;
        in.number(kind);
        in.number(id);
        unread_spec& spec = data.unread[{static_cast<entity_kind>(kind), id}];
        in.number(spec.schema);
        in.bytes(spec.bytes);
    }
    data.replicas.load(in);
    data.sessions.load(in);
    data.claims.load(in, format);
    data.suspects.load(in);
    data.duplicates.load(in);
    if (format < 2)
        return;
    data.operator_keys.load(in);
    data.grants.load(in);
    placement_fields(in, data.policy.spec);
}

} // namespace roseworks::detail
