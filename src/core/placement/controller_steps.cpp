#include "core/placement/controller_impl.hpp"

#include <roseworks/codec.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace roseworks
{

using namespace detail;

namespace
{

/// Timers of the parts are looked at this often.
constexpr duration step_interval = std::chrono::milliseconds(100);
/// Whether a change can alter where requests may go.
bool concerns_routing(const state_change& change)
{
    switch (change.what)
    {
    case state_change::kind::session_renewed:
    case state_change::kind::claim_opened:
    case state_change::kind::claim_closed:
        return false;
    default:
        return true;
    }
}

bool concerns_sessions(const state_change& change)
{
    return change.what == state_change::kind::session_started ||
           change.what == state_change::kind::session_ended;
}

} // namespace

void controller::impl::set_wall(stamp_ms wall, instant now)
{
    this->wall_then = wall;
    this->wall_read = now;
}

stamp_ms controller::impl::wall(instant now) const
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - this->wall_read);
    return this->wall_then + passed.count();
}

control_context controller::impl::context(instant now)
{
    this->alive = this->leases.alive_sessions(this->state, now);
    return {
        this->state,
        this->commit,
        this->out,
        this->alive,
        this->leases.session(),
        now,
        this->wall(now),
        this->available(now)};
}

void controller::impl::fold(const log_entry& entry, instant now)
{
    const auto decoded = decode(entry.bytes);
    if (!decoded)
    {
        this->state.skip(entry.offset);
        this->out.emplace_back(entry_skipped{entry.offset, entry.bytes.size()});
        return;
    }
    const record& value = *decoded;
    const fold_result result = this->state.apply(entry.offset, value);
    const std::span<const state_change> changes = this->state.changes();
    const fold_event event{
        entry.offset, value, result, changes, this->commit.read_back(value.id)};
    const control_context seen = this->fold_context(now);

    this->leases.folded(seen, event);
    this->streaks.folded(seen, event);
    this->orders.folded(seen, event);
    this->grants.folded(seen, event);
    this->keeper.folded(seen, event);
    this->proposals.folded(seen, event);
    this->claims.folded(seen, event);
    this->checkpoints.folded(seen, event);
    this->note_leave(event);
    for (const state_change& change : changes)
    {
        this->note_change(change, now);
    }
    this->checkpoints.passed(this->fold_context(now));
    this->out.emplace_back(folded_record{entry.offset, value, result});
}

control_context controller::impl::fold_context(instant now)
{
    if (this->sessions_changed)
    {
        this->sessions_changed = false;
        return this->context(now);
    }
    return {
        this->state,
        this->commit,
        this->out,
        this->alive,
        this->leases.session(),
        now,
        this->wall(now),
        this->available(now)};
}

std::set<engine_id> controller::impl::urgent_engines(instant now) const
{
    std::set<engine_id> urgent = this->orders.urgent();
    urgent.merge(this->proposals.requested_reports(now));
    for (const std::set<engine_id>* more :
         {&this->grants.urgent(),
          &this->keeper.urgent(),
          &this->watch.urgent()})
    {
        urgent.insert(more->begin(), more->end());
    }
    return urgent;
}

void controller::impl::note_change(const state_change& change, instant now)
{
    this->table_changed = this->table_changed || concerns_routing(change);
    this->sessions_changed =
        this->sessions_changed || concerns_sessions(change);
    if (change.what != state_change::kind::replica_moved)
    {
        return;
    }
    if (change.to == replica_state::ready)
    {
        this->uses.appeared(change.replica, now);
    }
    else if (change.to == replica_state::gone)
    {
        this->uses.forget(change.replica);
    }
}

void controller::impl::note_leave(const fold_event& event)
{
    if (event.handed_out && event.value.id.sequence == this->pending_leave)
    {
        this->finish(event.result.status == fold_status::accepted);
    }
}

void controller::impl::wake(instant now)
{
    this->next_step = std::min(this->next_step, now);
}

void controller::impl::step(instant now)
{
    if (this->finished)
    {
        return;
    }
    const control_context seen = this->context(now);
    this->next_step = now + step_interval;
    this->policy.follow(this->state.policy());
    this->preloads.follow(this->policy.kind());
    this->leases.step(
        seen,
        [&](engine_id engine)
        {
            return this->orders.busy(engine) || this->grants.busy(engine) ||
                   this->keeper.busy(engine);
        });
    this->claims.step(seen);
    this->orders.step(seen);
    if (!this->leaving_since)
    {
        this->grants.step(seen);
    }
    this->keeper.step(seen);
    this->watch.step(seen);
    this->reports.step(seen, this->orders.held(), this->urgent_engines(now));
    if (this->leaving_since)
    {
        this->step_leaving(seen);
    }
    else if (seen.self)
    {
        this->vms.step(seen, this->settings.name);
        this->proposals.step(seen);
        this->idle.step(seen, this->orders.held());
        this->checkpoints.step(seen);
    }
    this->flush(now);
}

void controller::impl::step_leaving(const control_context& seen)
{
    if (seen.now >= *this->leaving_since + this->settings.leave_limit)
    {
        this->finish(false);
        return;
    }
    const bool quiet = !this->orders.any_busy() && !this->grants.any_busy() &&
                       !this->keeper.any_busy() && this->commit.idle() &&
                       !this->leases.holds_any(this->state);
    if (quiet && seen.self && !this->pending_leave)
    {
        this->pending_leave = seen.submit(router_leave{seen.self});
    }
}

void controller::impl::finish(bool clean)
{
    this->finished = true;
    this->out.emplace_back(left{clean});
}

void controller::impl::flush(instant now)
{
    if (!this->finished)
    {
        this->commit.flush(now, this->out);
    }
}

} // namespace roseworks
