#include "core/state/grant_fold.hpp"

#include "core/state/replica_fold.hpp"
#include "core/state/router_fold.hpp"

#include <string>

namespace roseworks::detail
{

namespace
{

constexpr std::uint32_t shortest_term_ms = 1'000;
constexpr std::uint32_t longest_term_ms = 24 * 3'600'000;

std::string about_engine(const fleet_data& data, engine_id engine)
{
    return "engine " + std::string(data.engines.name(engine));
}

std::string about_servable(const fleet_data& data, servable_id servable)
{
    return "servable " + std::string(data.servables.name(servable));
}

/// Whether the session may order the engine under this fencing number.
fold_result check_holder(
    const fleet_data& data, engine_id engine, session_id session, fence held)
{
    if (!data.sessions.live(session))
        return reject(
            reject_reason::session_ended,
            "session " + std::to_string(session.value) +
                " has ended or never was");
    const engine_row* row = data.engines.row(engine);
    if (row == nullptr)
        return reject(
            reject_reason::unknown_entity,
            "engine " + std::to_string(engine.value) + " doesn't exist");
    if (row->holder != session || row->held != held)
        return reject(
            reject_reason::fence_not_current,
            about_engine(data, engine) + " is held by session " +
                std::to_string(row->holder.value) + " with fence " +
                std::to_string(row->held.value),
            log_offset(row->held.value));
    return accept();
}

/// Whether no order under an earlier lease's grant can still take effect.
fold_result
check_proof(const fleet_data& data, engine_id engine, fence granted, fence held)
{
    if (granted != held && data.engines.order_may_be_in_flight(engine))
        return reject(
            reject_reason::not_proven_gone,
            about_engine(data, engine) +
                ": an order under an earlier grant may still arrive");
    return accept();
}

fold_result check_close(
    const fleet_data& data,
    const grant_open& value,
    const standing_grant_view* before)
{
    if (before == nullptr)
        return reject(
            reject_reason::unknown_entity,
            about_engine(data, value.engine) + " has no standing grant");
    if (data.grants.count_on(value.engine) != 0)
        return reject(
            reject_reason::entity_in_use,
            about_engine(data, value.engine) +
                " has granted models that aren't settled");
    return check_proof(data, value.engine, before->held, value.held);
}

fold_result check_slots(
    const fleet_data& data,
    const grant_open& value,
    const standing_grant_view* before)
{
    const std::size_t had = before != nullptr ? before->loads : 0;
    const std::size_t slots = data.policy.spec.store_slots;
    const std::size_t kept = data.grants.loads() - had + value.loads;
    if (value.loads <= had)
        return accept();
    // One slot at least is left to loads that the log decides.
    if (kept >= slots || kept + data.replicas.slots_held() > slots)
        return reject(
            reject_reason::store_slots,
            "grants would keep " + std::to_string(kept) + " of " +
                std::to_string(slots) + " weight-store slots, with " +
                std::to_string(data.replicas.slots_held()) + " held");
    return accept();
}

fold_result check_terms(
    const fleet_data& data,
    const grant_open& value,
    const standing_grant_view* before)
{
    const engine_row& engine = *data.engines.row(value.engine);
    const bool in_range = value.memory_mib != 0 && value.loads != 0 &&
                          value.term_ms >= shortest_term_ms &&
                          value.term_ms <= longest_term_ms;
    if (!in_range)
        return reject(
            reject_reason::invalid_spec,
            about_engine(data, value.engine) + ": grant out of range");
    if (before != nullptr && before->held != value.held)
        return reject(
            reject_reason::entity_in_use,
            about_engine(data, value.engine) +
                " has the grant of an earlier lease; close it first");
    const std::uint32_t had = before != nullptr ? before->memory_mib : 0;
    const bool grows = before == nullptr || value.memory_mib > had;
    if (grows && (!engine.readable || engine.spec.draining))
        return reject(
            reject_reason::engine_unusable,
            about_engine(data, value.engine) +
                " is draining or of a newer schema");
    const std::uint64_t reserved =
        std::uint64_t(engine.reserved_mib) - had + value.memory_mib;
    if (grows && reserved > engine.spec.memory_mib)
        return reject(
            reject_reason::engine_memory,
            about_engine(data, value.engine) + " would have " +
                std::to_string(reserved) + " MiB reserved of " +
                std::to_string(engine.spec.memory_mib));
    return check_slots(data, value, before);
}

fold_result check_model(const fleet_data& data, const grant_model& value)
{
    const servable_row* row = data.servables.row(value.servable);
    if (row == nullptr || !row->readable)
        return reject(
            reject_reason::unknown_entity,
            "servable " + std::to_string(value.servable.value) +
                " doesn't exist or is of a newer schema");
    const std::string name = about_servable(data, value.servable);
    if (row->current != value.servable_revision)
        return reject(
            reject_reason::revision_moved,
            name + " was changed",
            log_offset(row->current.value));
    if (row->is_adapter)
        return reject(
            reject_reason::base_not_ready,
            name + " is an adapter: only models are granted");
    if (data.grants.find(value.servable, value.engine) != nullptr)
        return reject(
            reject_reason::entity_in_use, name + " is granted there already");
    if (data.committed_replicas(value.servable) >= row->max_replicas)
        return reject(
            reject_reason::replicas_at_maximum,
            name + " has all its " + std::to_string(row->max_replicas) +
                " replicas");
    return accept();
}

fold_result check_place(const fleet_data& data, const grant_model& value)
{
    const engine_row& engine = *data.engines.row(value.engine);
    const servable_row& servable = *data.servables.row(value.servable);
    const standing_grant_view* grant = data.grants.on(value.engine);
    const std::string name = about_engine(data, value.engine);
    if (grant == nullptr || grant->held != value.held)
        return reject(
            reject_reason::unknown_entity,
            name + " has no standing grant under this lease");
    if (!engine.readable || engine.spec.draining ||
        servable.accelerators > engine.spec.accelerators)
        return reject(
            reject_reason::engine_unusable,
            name + " is draining or has too few accelerators");
    if (servable.memory_mib > grant->memory_mib)
        return reject(
            reject_reason::engine_memory,
            name + ": its grant has " + std::to_string(grant->memory_mib) +
                " MiB");
    return accept();
}

/// The granted model becomes a replica that waits for its turn: it is on the
/// engine, or will be when its load is ordered again under the same id.
void make_replica(
    fold_context& context,
    const granted_model_view& granted,
    session_id session)
{
    replica_view row;
    row.id = granted.id;
    row.servable = granted.servable;
    row.engine = granted.engine;
    row.urgency = priority::urgent;
    row.memory_mib = granted.memory_mib;
    row.servable_revision = granted.servable_revision;
    row.last_change = context.offset;
    context.data.replicas.add(row);
    note_move(
        context, row, replica_state::decided, replica_state::decided, session);
}

} // namespace

fold_result fold(fold_context& context, const grant_open& value)
{
    fleet_data& data = context.data;
    fold_result result =
        check_holder(data, value.engine, value.session, value.held);
    if (result.status != fold_status::accepted)
        return result;
    const standing_grant_view* before = data.grants.on(value.engine);
    const bool closes = value.memory_mib == 0 && value.loads == 0;
    result = closes ? check_close(data, value, before)
                    : check_terms(data, value, before);
    if (result.status != fold_status::accepted)
        return result;

    engine_row& engine = *data.engines.row(value.engine);
    const std::uint32_t had = before != nullptr ? before->memory_mib : 0;
    engine.reserved_mib = engine.reserved_mib - had + value.memory_mib;
    if (closes)
        data.grants.close(value.engine);
    else
        data.grants.put(
            {value.engine,
             value.held,
             value.memory_mib,
             value.loads,
             value.term_ms});
    // A taker that hasn't seen the new term is refused.
    renew(context, value.session);
    return accept();
}

fold_result fold(fold_context& context, const grant_model& value)
{
    fleet_data& data = context.data;
    fold_result result =
        check_holder(data, value.engine, value.session, value.held);
    if (result.status != fold_status::accepted)
        return result;
    for (const auto check : {check_model, check_place})
    {
        result = check(data, value);
        if (result.status != fold_status::accepted)
            return result;
    }
    data.grants.add(
        {replica_id(context.offset.value),
         value.servable,
         value.engine,
         value.held,
         data.servables.row(value.servable)->memory_mib,
         value.servable_revision});
    return accept();
}

fold_result fold(fold_context& context, const grant_settle& value)
{
    fleet_data& data = context.data;
    const granted_model_view* found = data.grants.find(value.replica);
    if (found == nullptr)
        return reject(
            reject_reason::unknown_entity,
            "replica " + std::to_string(value.replica.value) +
                " isn't granted");
    const granted_model_view granted = *found;
    fold_result result =
        check_holder(data, granted.engine, value.session, value.held);
    if (result.status != fold_status::accepted)
        return result;
    if (!value.used)
    {
        result = check_proof(data, granted.engine, granted.held, value.held);
        if (result.status == fold_status::accepted)
            data.grants.erase(granted.id);
        return result;
    }
    const std::uint32_t left = data.grants.on(granted.engine)->memory_mib;
    if (granted.memory_mib > left)
        return reject(
            reject_reason::engine_memory,
            about_engine(data, granted.engine) + ": its grant has " +
                std::to_string(left) + " MiB left");
    data.grants.spend(granted.engine, granted.memory_mib);
    data.grants.erase(granted.id);
    make_replica(context, granted, value.session);
    return accept();
}

} // namespace roseworks::detail
