#include "core/state/router_fold.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t max_text = 255;

fold_result session_over(session_id session)
{
    return reject(
        reject_reason::session_ended,
        "session " + std::to_string(session.value) + " has ended or never was");
}

fold_result no_engine(engine_id engine)
{
    return reject(
        reject_reason::unknown_entity,
        "engine " + std::to_string(engine.value) + " doesn't exist");
}

void free_lease(fold_context& context, engine_id engine, engine_row& row)
{
    state_change& change = context.note(state_change::kind::lease_freed);
    change.engine = engine;
    change.session = row.holder;
    row.holder = session_id();
    row.held = fence();
}

/// The session's process is proven gone: its leases are free and none of its
/// orders can be in flight.
void end_session(fold_context& context, session_id session)
{
    session_row& row = *context.data.sessions.find(session);
    row.ended = true;
    row.ended_at = context.data.log_time;
    context.note(state_change::kind::session_ended).session = session;

    std::uint32_t id = 0;
    for (engine_row& engine : context.data.engines.all())
    {
        ++id;
        std::erase(engine.earlier, session);
        if (engine.holder == session)
            free_lease(context, engine_id(id), engine);
    }
}

/// @return Whether the taker saw the holder's last renewal lapse.
fold_result check_takeover(
    const fleet_data& data, const engine_row& row, const lease_acquire& value)
{
    const log_offset winner(row.held.value);
    if (row.holder == value.session)
        return reject(
            reject_reason::lease_held,
            "the session holds the lease already",
            winner);
    if (row.holder != value.previous)
        return reject(
            reject_reason::lease_held,
            "session " + std::to_string(row.holder.value) + " holds the lease",
            winner);
    const log_offset renewed = data.sessions.find(row.holder)->last_renewal;
    if (renewed != value.previous_renewal)
        return reject(
            reject_reason::lease_renewed,
            "session " + std::to_string(row.holder.value) +
                " renewed at offset " + std::to_string(renewed.value),
            renewed);
    return accept();
}

} // namespace

void renew(fold_context& context, session_id session)
{
    context.data.sessions.find(session)->last_renewal = context.offset;
    context.note(state_change::kind::session_renewed).session = session;
}

fold_result
fold(fold_context& context, const router_join& value, const record_id& id)
{
    session_store& sessions = context.data.sessions;
    const std::size_t longest = std::max(
        {value.name.size(),
         value.data_centre.size(),
         value.peer_address.size(),
         value.http_address.size()});
    if (longest > max_text)
        return reject(reject_reason::invalid_spec, "join: text too long");
    const session_id before = sessions.newest(id.author);
    const session_row* older = sessions.find(before);
    if (older != nullptr && older->incarnation >= id.incarnation)
        return reject(
            reject_reason::session_ended,
            "a newer run of " + value.name + " joined",
            log_offset(before.value));
    if (sessions.live(before))
        end_session(context, before);

    session_row row;
    row.author = id.author;
    row.incarnation = id.incarnation;
    row.name = value.name;
    row.data_centre = value.data_centre;
    row.peer_address = value.peer_address;
    row.http_address = value.http_address;
    row.last_renewal = context.offset;
    const session_id session(context.offset.value);
    sessions.add(session, std::move(row));
    context.note(state_change::kind::session_started).session = session;
    return accept();
}

fold_result fold(fold_context& context, const router_leave& value)
{
    if (!context.data.sessions.live(value.session))
        return session_over(value.session);
    end_session(context, value.session);
    return accept();
}

fold_result fold(fold_context& context, const router_gone& value)
{
    if (!context.data.sessions.live(value.session))
        return session_over(value.session);
    end_session(context, value.session);
    return accept();
}

fold_result fold(fold_context& context, const session_renew& value)
{
    if (!context.data.sessions.live(value.session))
        return session_over(value.session);
    renew(context, value.session);
    return accept();
}

fold_result fold(fold_context& context, const lease_acquire& value)
{
    fleet_data& data = context.data;
    if (!data.sessions.live(value.session))
        return session_over(value.session);
    engine_row* row = data.engines.row(value.engine);
    if (row == nullptr)
        return no_engine(value.engine);
    if (!row->readable)
        return reject(
            reject_reason::engine_unusable,
            "engine " + std::string(data.engines.name(value.engine)) +
                ": schema newer than this program's");
    if (row->holder)
    {
        fold_result taken = check_takeover(data, *row, value);
        if (taken.status != fold_status::accepted)
            return taken;
        row->earlier.push_back(row->holder);
        free_lease(context, value.engine, *row);
    }
    // The taker knows its own orders; they aren't another's.
    std::erase(row->earlier, value.session);
    row->holder = value.session;
    row->held = fence(context.offset.value);
    // A holder may count its term from here, so takers must, too.
    renew(context, value.session);
    state_change& change = context.note(state_change::kind::lease_taken);
    change.engine = value.engine;
    change.session = value.session;
    return accept();
}

fold_result fold(fold_context& context, const lease_release& value)
{
    engine_row* row = context.data.engines.row(value.engine);
    if (row == nullptr)
        return no_engine(value.engine);
    // A former holder knows best whether an order of it is in flight.
    if (std::erase(row->earlier, value.session) != 0)
        return accept();
    if (!value.session || row->holder != value.session)
        return reject(
            reject_reason::not_holder,
            "session " + std::to_string(value.session.value) +
                " doesn't hold the lease",
            log_offset(row->held.value));
    // With no order in flight, nor any to come, its grant is free.
    row->reserved_mib -= context.data.grants.give_back(value.engine, row->held);
    free_lease(context, value.engine, *row);
    return accept();
}

} // namespace roseworks::detail
