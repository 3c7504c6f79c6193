#include "core/placement/activity.hpp"
#include "core/placement/engine_reports.hpp"
#include "core/placement/idle_watch.hpp"
#include "core/placement/load_failures.hpp"
#include "core/placement/order_keeper.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/preloader.hpp"
#include "core/placement/proposer.hpp"
#include "core/recovery/checkpoint_writer.hpp"
#include "core/recovery/claim_keeper.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/group_commit.hpp"
#include "core/recovery/lease_keeper.hpp"
#include "core/recovery/vm_watch.hpp"

#include <roseworks/codec.hpp>
#include <roseworks/controller.hpp>
#include <roseworks/rendezvous.hpp>

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

using namespace detail;

/// Timers of the parts are looked at this often.
constexpr duration step_interval = std::chrono::milliseconds(100);
/// Room left in an append beside a checkpoint chunk's data.
constexpr std::size_t chunk_overhead = 4096;
constexpr std::size_t least_chunk = 1024;

group_commit::options commit_options(const controller::options& settings)
{
    group_commit::options wanted;
    wanted.author = author_of(settings.name);
    wanted.incarnation = settings.incarnation;
    wanted.retry_min = settings.append_retry_min;
    wanted.retry_max = settings.append_retry_max;
    wanted.max_batch_bytes = settings.max_batch_bytes;
    wanted.seed = settings.seed;
    return wanted;
}

std::size_t chunk_bytes(const controller::options& settings)
{
    return settings.max_batch_bytes > chunk_overhead + least_chunk
               ? settings.max_batch_bytes - chunk_overhead
               : least_chunk;
}

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

/// The parts, and the order in which events pass through them.
class controller::impl
{
public:
    explicit impl(options wanted)
        : settings(std::move(wanted))
        , policy(this->settings.placement, this->settings.idle_ttl)
        , commit(commit_options(this->settings))
        , leases(this->settings)
        , claims(this->settings.claim_timeout)
        , checkpoints(
              this->settings.checkpoint_records, chunk_bytes(this->settings))
        , reports(this->settings.engine_poll)
        , orders(
              this->settings,
              this->leases,
              this->vms,
              this->reports,
              this->streaks)
        , proposals(
              this->settings,
              this->policy,
              this->preloads,
              this->uses,
              this->vms,
              this->reports,
              this->streaks)
        , idle(
              this->policy,
              this->preloads,
              this->uses,
              this->proposals,
              this->reports)
    {
    }

    void start(fleet_state initial, stamp_ms wall, instant now)
    {
        this->state = std::move(initial);
        this->last_read = now;
        this->set_wall(wall, now);
        this->leases.start(this->context(now));
        this->flush(now);
    }

    void read(
        std::span<const log_entry> entries,
        log_offset next,
        stamp_ms wall,
        instant now)
    {
        this->set_wall(wall, now);
        if (!this->available(now))
        {
            this->leases.log_returned(now);
        }
        this->reachable = true;
        this->last_read = now;
        this->known_end = std::max(this->known_end, next);
        this->table_changed = false;
        for (const log_entry& entry : entries)
        {
            if (entry.offset > this->state.folded())
            {
                this->fold(entry, now);
            }
        }
        if (this->table_changed)
        {
            this->out.emplace_back(publish_table{});
        }
        this->step(now);
    }

    void unreachable(instant now)
    {
        this->reachable = false;
        this->step(now);
    }

    void
    append_answered(std::uint64_t batch, append_outcome outcome, instant now)
    {
        this->commit.answered(batch, outcome, now);
        this->step(now);
    }

    void order_answered(std::uint64_t order, order_outcome outcome, instant now)
    {
        this->orders.answered(order, outcome, now);
        this->step(now);
    }

    void engine_read(const engine_report& report, instant now)
    {
        this->reports.received(report, now);
        for (const servable_id used :
             this->uses.reported(this->state, report, now))
        {
            this->policy.used(this->state, used, now);
        }
        this->orders.reported(this->context(now), report.engine);
        this->step(now);
    }

    void vms_listed(std::span<const vm_entry> entries, instant now)
    {
        this->vms.listed(entries);
        this->step(now);
    }

    void peers_changed(std::span<const session_id> hinted, instant now)
    {
        this->leases.peers_changed(hinted);
        this->wake(now);
    }

    void demanded(const servable_demand& what, instant now)
    {
        this->proposals.demanded(what, now);
        this->uses.wanted(this->state, what.servable, now);
        this->wake(now);
    }

    void used(servable_id servable, instant now, std::uint32_t caller)
    {
        this->uses.used(this->state, servable, now);
        this->policy.used(this->state, servable, now);
        if (caller != 0)
        {
            this->preloads.used({servable, caller, now});
        }
    }

    void claim(claim_key key, instant now)
    {
        if (this->leaving_since)
        {
            claim_result refusal;
            refusal.key = key;
            refusal.result = claim_result::status::unavailable;
            this->out.emplace_back(std::move(refusal));
            return;
        }
        this->claims.claim(this->context(now), key);
        this->flush(now);
    }

    void close_claim(claim_close what, instant now)
    {
        this->claims.close(this->context(now), std::move(what));
        this->flush(now);
    }

    void crash_seen(fingerprint request, engine_id engine, instant now)
    {
        const control_context seen = this->context(now);
        seen.submit(request_suspect{request, engine, seen.self});
        this->flush(now);
    }

    void leave(instant now)
    {
        if (this->leaving_since)
        {
            return;
        }
        this->leaving_since = now;
        this->leases.leave();
        this->orders.wind_down();
        this->step(now);
    }

    void tick(stamp_ms wall, instant now)
    {
        this->set_wall(wall, now);
        this->step(now);
    }

    std::vector<control_command> take_commands()
    {
        return std::exchange(this->out, {});
    }

    bool may_send(const engine_order& order, instant now) const
    {
        return !this->finished &&
               this->leases.may_order(
                   this->state, order.engine, order.held, now);
    }

    instant next_tick() const
    {
        if (this->finished)
        {
            return instant::max();
        }
        return std::min(
            {this->next_step,
             this->commit.next_tick(),
             this->reports.next_tick(),
             this->leases.next_tick(),
             this->claims.next_tick()});
    }

    const fleet_state& folded_state() const
    {
        return this->state;
    }

    bool available(instant now) const
    {
        return this->reachable &&
               now < this->last_read + this->settings.log_silence;
    }

    bool joined() const
    {
        return this->leases.joined();
    }

    session_id session() const
    {
        return this->leases.session();
    }

private:
    void set_wall(stamp_ms wall, instant now)
    {
        this->wall_then = wall;
        this->wall_read = now;
    }

    stamp_ms wall(instant now) const
    {
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - this->wall_read);
        return this->wall_then + passed.count();
    }

    control_context context(instant now)
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

    void fold(const log_entry& entry, instant now)
    {
        const auto decoded = decode(entry.bytes);
        if (!decoded)
        {
            this->state.skip(entry.offset);
            return;
        }
        const record& value = *decoded;
        const fold_result result = this->state.apply(entry.offset, value);
        const std::span<const state_change> changes = this->state.changes();
        const fold_event event{
            entry.offset,
            value,
            result,
            changes,
            this->commit.read_back(value.id)};
        const control_context seen = this->fold_context(now);

        this->leases.folded(seen, event);
        this->streaks.folded(seen, event);
        this->orders.folded(seen, event);
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

    /// Like `context`, without looking at all sessions for every record.
    control_context fold_context(instant now)
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

    void note_change(const state_change& change, instant now)
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

    void note_leave(const fold_event& event)
    {
        if (event.handed_out && event.value.id.sequence == this->pending_leave)
        {
            this->finish(event.result.status == fold_status::accepted);
        }
    }

    void wake(instant now)
    {
        this->next_step = std::min(this->next_step, now);
    }

    void step(instant now)
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
                return this->orders.busy(engine);
            });
        this->claims.step(seen);
        this->orders.step(seen);
        this->reports.step(seen, this->orders.held(), this->orders.urgent());
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

    void step_leaving(const control_context& seen)
    {
        if (seen.now >= *this->leaving_since + this->settings.leave_limit)
        {
            this->finish(false);
            return;
        }
        const bool quiet = !this->orders.any_busy() && this->commit.idle() &&
                           !this->leases.holds_any(this->state);
        if (quiet && seen.self && !this->pending_leave)
        {
            this->pending_leave = seen.submit(router_leave{seen.self});
        }
    }

    void finish(bool clean)
    {
        this->finished = true;
        this->out.emplace_back(left{clean});
    }

    void flush(instant now)
    {
        if (!this->finished)
        {
            this->commit.flush(now, this->out);
        }
    }

    options settings;
    placement_policy policy;
    preloader preloads;
    fleet_state state;
    group_commit commit;
    lease_keeper leases;
    vm_watch vms;
    claim_keeper claims;
    checkpoint_writer checkpoints;
    engine_reports reports;
    activity uses;
    load_failures streaks;
    order_keeper orders;
    proposer proposals;
    idle_watch idle;

    std::vector<control_command> out;
    std::vector<session_id> alive;
    log_offset known_end;
    stamp_ms wall_then = 0;
    instant wall_read{};
    instant last_read{};
    instant next_step{};
    bool reachable = false;
    bool table_changed = false;
    bool sessions_changed = true;
    bool finished = false;
    std::optional<instant> leaving_since;
    std::optional<std::uint64_t> pending_leave;
};

controller::controller(options settings)
    : self(std::make_unique<impl>(std::move(settings)))
{
}

controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

void controller::start(fleet_state state, stamp_ms wall, instant now)
{
    this->self->start(std::move(state), wall, now);
}

void controller::log_read(
    std::span<const log_entry> entries,
    log_offset next,
    stamp_ms wall,
    instant now)
{
    this->self->read(entries, next, wall, now);
}

void controller::log_unreachable(instant now)
{
    this->self->unreachable(now);
}

void controller::append_answered(
    std::uint64_t batch, append_outcome outcome, instant now)
{
    this->self->append_answered(batch, outcome, now);
}

void controller::order_answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    this->self->order_answered(order, outcome, now);
}

void controller::engine_read(const engine_report& report, instant now)
{
    this->self->engine_read(report, now);
}

void controller::vms_listed(std::span<const vm_entry> vms, instant now)
{
    this->self->vms_listed(vms, now);
}

void controller::peers_changed(std::span<const session_id> alive, instant now)
{
    this->self->peers_changed(alive, now);
}

void controller::demanded(const servable_demand& what, instant now)
{
    this->self->demanded(what, now);
}

void controller::used(servable_id servable, instant now, std::uint32_t caller)
{
    this->self->used(servable, now, caller);
}

void controller::claim(claim_key key, instant now)
{
    this->self->claim(key, now);
}

void controller::close_claim(claim_close what, instant now)
{
    this->self->close_claim(std::move(what), now);
}

void controller::crash_seen(fingerprint request, engine_id engine, instant now)
{
    this->self->crash_seen(request, engine, now);
}

void controller::leave(instant now)
{
    this->self->leave(now);
}

void controller::tick(stamp_ms wall, instant now)
{
    this->self->tick(wall, now);
}

std::vector<control_command> controller::take_commands()
{
    return this->self->take_commands();
}

bool controller::may_send(const engine_order& order, instant now) const
{
    return this->self->may_send(order, now);
}

instant controller::next_tick() const
{
    return this->self->next_tick();
}

const fleet_state& controller::state() const
{
    return this->self->folded_state();
}

bool controller::log_available(instant now) const
{
    return this->self->available(now);
}

bool controller::joined() const
{
    return this->self->joined();
}

session_id controller::session() const
{
    return this->self->session();
}

} // namespace roseworks
