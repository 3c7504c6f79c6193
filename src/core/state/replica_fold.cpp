#include "core/state/replica_fold.hpp"

#include <algorithm>
#include <string>

namespace roseworks::detail
{

namespace
{

constexpr stamp_ms second_ms = 1000;

/// Time between two decided loads: standing grants keep their slots' share of
/// the store's rate as well.
stamp_ms load_interval(const fleet_data& data)
{
    const policy_spec& policy = data.policy.spec;
    const auto slots = static_cast<stamp_ms>(policy.store_slots);
    const auto kept = static_cast<stamp_ms>(data.grants.loads());
    const stamp_ms share = policy.store_loads_per_second * (slots - kept);
    return (second_ms * slots + share - 1) / share;
}

/// Moves that a report can make. `loading` is granted by the fold alone.
bool legal(replica_state from, replica_state to)
{
    switch (from)
    {
    case replica_state::decided:
        return to == replica_state::gone;
    case replica_state::loading:
        return to == replica_state::ready || to == replica_state::failed ||
               to == replica_state::gone;
    case replica_state::ready:
        return to == replica_state::draining;
    case replica_state::draining:
        return to == replica_state::unloading;
    case replica_state::unloading:
        return to == replica_state::gone;
    case replica_state::failed:
        return to == replica_state::unloading || to == replica_state::gone;
    case replica_state::gone:
        return false;
    }
    return false;
}

/** @return The granted model that the decision makes a replica, null when it
            decides a new one.

    The replica keeps the granted id. A holder that is cut off from the log and
    loads the model under its grant then sends the same load.
*/
const granted_model_view*
converted(const fleet_data& data, const replica_decide& value)
{
    const granted_model_view* granted =
        data.grants.find(value.servable, value.engine);
    const bool same = granted != nullptr &&
                      granted->servable_revision == value.servable_revision;
    return same ? granted : nullptr;
}

fold_result check_servable(const fleet_data& data, const replica_decide& value)
{
    const servable_row* row = data.servables.row(value.servable);
    const std::string name(data.servables.name(value.servable));
    if (row == nullptr)
        return reject(
            reject_reason::unknown_entity,
            "servable " + std::to_string(value.servable.value) +
                " doesn't exist");
    if (row->current != value.servable_revision)
        return reject(
            reject_reason::revision_moved,
            "servable " + name + " was changed",
            log_offset(row->current.value));
    if (!row->readable)
        return reject(
            reject_reason::unknown_entity,
            "servable " + name + ": schema newer than this program's");
    // A model granted on the engine is counted already.
    if (converted(data, value) == nullptr &&
        data.committed_replicas(value.servable) >= row->max_replicas)
        return reject(
            reject_reason::replicas_at_maximum,
            "servable " + name + " has all its " +
                std::to_string(row->max_replicas) + " replicas");
    return accept();
}

fold_result check_engine(const fleet_data& data, const replica_decide& value)
{
    const engine_row* row = data.engines.row(value.engine);
    const std::string name(data.engines.name(value.engine));
    if (row == nullptr)
        return reject(
            reject_reason::unknown_entity,
            "engine " + std::to_string(value.engine.value) + " doesn't exist");
    if (row->current != value.engine_revision)
        return reject(
            reject_reason::revision_moved,
            "engine " + name + " was changed",
            log_offset(row->current.value));
    if (!row->readable)
        return reject(
            reject_reason::engine_unusable,
            "engine " + name + ": schema newer than this program's");
    if (row->spec.draining)
        return reject(
            reject_reason::engine_unusable, "engine " + name + " is draining");
    const servable_row& servable = *data.servables.row(value.servable);
    if (servable.accelerators > row->spec.accelerators)
        return reject(
            reject_reason::engine_unusable,
            "engine " + name + " has too few accelerators");
    const std::uint64_t wanted =
        std::uint64_t(row->reserved_mib) + servable.memory_mib;
    if (wanted > row->spec.memory_mib)
        return reject(
            reject_reason::engine_memory,
            "engine " + name + " has " +
                std::to_string(row->spec.memory_mib - row->reserved_mib) +
                " MiB free of " + std::to_string(row->spec.memory_mib));
    return accept();
}

fold_result check_base(const fleet_data& data, const replica_decide& value)
{
    const servable_row& servable = *data.servables.row(value.servable);
    if (!servable.is_adapter)
        return value.base ? reject(
                                reject_reason::base_not_ready,
                                "a model has no base replica")
                          : accept();
    const replica_view* base = data.replicas.find(value.base);
    if (base == nullptr || base->servable != servable.base ||
        base->engine != value.engine || base->state != replica_state::ready)
        return reject(
            reject_reason::base_not_ready,
            "replica " + std::to_string(value.base.value) +
                " isn't a ready replica of the base on the engine");
    return accept();
}

/// Whether the reporter may order the replica's engine.
fold_result check_reporter(
    const fleet_data& data,
    const replica_view& row,
    const replica_report& value)
{
    if (!data.sessions.live(value.session))
        return reject(
            reject_reason::session_ended,
            "session " + std::to_string(value.session.value) +
                " has ended or never was");
    if (value.to == replica_state::draining)
        return accept();
    const engine_row& engine = *data.engines.row(row.engine);
    if (engine.holder != value.session || engine.held != value.held)
        return reject(
            reject_reason::fence_not_current,
            "engine " + std::string(data.engines.name(row.engine)) +
                " is held by session " + std::to_string(engine.holder.value) +
                " with fence " + std::to_string(engine.held.value),
            log_offset(engine.held.value));
    return accept();
}

fold_result check_move(
    const fleet_data& data,
    const replica_view& row,
    const replica_report& value)
{
    if (!legal(row.state, value.to))
        return reject(
            reject_reason::illegal_transition,
            "replica " + std::to_string(row.id.value) +
                " can't move so from its state",
            row.last_change);
    const bool releases =
        value.to == replica_state::gone || value.to == replica_state::unloading;
    if (releases && data.replicas.has_adapters(row))
        return reject(
            reject_reason::entity_in_use,
            "replica " + std::to_string(row.id.value) +
                " has adapters that aren't gone");
    // A replica that never had a slot was never ordered by anyone.
    if (value.to == replica_state::gone &&
        row.state != replica_state::decided &&
        data.engines.order_may_be_in_flight(row.engine))
        return reject(
            reject_reason::not_proven_gone,
            "an order of session " +
                std::to_string(
                    data.engines.row(row.engine)->earlier.front().value) +
                " may still arrive");
    return accept();
}

} // namespace

void note_move(
    fold_context& context,
    const replica_view& row,
    replica_state from,
    replica_state to,
    session_id session)
{
    state_change& change = context.note(state_change::kind::replica_moved);
    change.replica = row.id;
    change.entity_id = row.servable.value;
    change.engine = row.engine;
    change.session = session;
    change.from = from;
    change.to = to;
}

fold_result fold(fold_context& context, const replica_decide& value)
{
    fleet_data& data = context.data;
    if (!data.sessions.live(value.session))
        return reject(
            reject_reason::session_ended,
            "session " + std::to_string(value.session.value) +
                " has ended or never was");
    for (const auto check : {check_servable, check_engine, check_base})
    {
        fold_result result = check(data, value);
        if (result.status != fold_status::accepted)
            return result;
    }

    replica_view row;
    row.id = replica_id(context.offset.value);
    if (const granted_model_view* granted = converted(data, value))
    {
        row.id = granted->id;
        data.grants.erase(row.id);
    }
    row.servable = value.servable;
    row.engine = value.engine;
    row.base = value.base;
    row.urgency = value.urgency;
    row.memory_mib = data.servables.row(value.servable)->memory_mib;
    row.servable_revision = value.servable_revision;
    row.last_change = context.offset;
    data.replicas.add(row);
    data.engines.row(value.engine)->reserved_mib += row.memory_mib;
    note_move(
        context,
        row,
        replica_state::decided,
        replica_state::decided,
        value.session);
    return accept();
}

fold_result fold(fold_context& context, const replica_report& value)
{
    fleet_data& data = context.data;
    const replica_view* found = data.replicas.find(value.replica);
    if (found == nullptr)
        return reject(
            reject_reason::unknown_entity,
            "replica " + std::to_string(value.replica.value) +
                " is gone or never was");
    for (const auto check : {check_reporter, check_move})
    {
        fold_result result = check(data, *found, value);
        if (result.status != fold_status::accepted)
            return result;
    }

    const replica_view row = *found;
    data.replicas.move(row.id, value.to, context.offset);
    if (value.to == replica_state::gone)
        data.engines.row(row.engine)->reserved_mib -= row.memory_mib;
    note_move(context, row, row.state, value.to, value.session);
    return accept();
}

void grant_slots(fold_context& context)
{
    fleet_data& data = context.data;
    const policy_spec& policy = data.policy.spec;
    while (data.replicas.slots_held() + data.grants.loads() <
           policy.store_slots)
    {
        const replica_id next = data.replicas.next_waiting();
        if (!next)
            return;
        const stamp_ms start = std::max(data.log_time, data.next_grant);
        data.next_grant = start + load_interval(data);
        data.replicas.grant(next, start, context.offset);
        note_move(
            context,
            *data.replicas.find(next),
            replica_state::decided,
            replica_state::loading,
            session_id());
    }
}

} // namespace roseworks::detail
