#include "core/placement/controller_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

using namespace detail;

namespace
{

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

} // namespace

controller::impl::impl(options wanted)
    : settings(std::move(wanted))
    , policy(this->settings.placement, this->settings.idle_ttl)
    , commit(commit_options(this->settings))
    , leases(this->settings)
    , claims(this->settings.claim_timeout)
    , checkpoints(
          this->settings.checkpoint_records, chunk_bytes(this->settings))
    , reports(this->settings.engine_poll)
    , orders(
          this->settings, this->leases, this->vms, this->reports, this->streaks)
    , grants(this->settings, this->leases, this->vms, this->reports)
    , proposals(
          this->settings,
          this->policy,
          this->preloads,
          this->uses,
          this->vms,
          this->reports,
          this->streaks)
    , keeper(
          this->settings,
          this->leases,
          this->reports,
          this->uses,
          this->proposals)
    , watch(this->settings, this->leases, this->reports, this->proposals)
    , idle(
          this->policy,
          this->preloads,
          this->uses,
          this->proposals,
          this->reports)
{
}

void controller::impl::start(fleet_state initial, stamp_ms wall, instant now)
{
    this->state = std::move(initial);
    this->checkpoints.start(this->state);
    this->last_read = now;
    this->set_wall(wall, now);
    this->leases.start(this->context(now));
    this->flush(now);
}

void controller::impl::read(
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

void controller::impl::log_kept(log_offset first)
{
    this->checkpoints.kept(first);
}

void controller::impl::unreachable(instant now)
{
    this->reachable = false;
    this->step(now);
}

void controller::impl::append_answered(
    std::uint64_t batch, append_outcome outcome, instant now)
{
    this->commit.answered(batch, outcome, now);
    this->step(now);
}

void controller::impl::order_answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    this->orders.answered(order, outcome, now);
    this->grants.answered(order, outcome, now);
    this->keeper.answered(order, outcome, now);
    this->step(now);
}

void controller::impl::engine_read(const engine_report& report, instant now)
{
    this->reports.received(report, now);
    for (const servable_id used : this->uses.reported(this->state, report, now))
    {
        this->policy.used(this->state, used, now);
    }
    const control_context seen = this->context(now);
    this->orders.reported(seen, report.engine);
    this->grants.reported(seen, report.engine);
    this->keeper.reported(report.engine);
    this->step(now);
}

void controller::impl::vms_listed(
    std::span<const vm_entry> entries, instant now)
{
    this->vms.listed(entries);
    this->step(now);
}

void controller::impl::peers_changed(
    std::span<const session_id> hinted, instant now)
{
    this->leases.peers_changed(hinted);
    this->wake(now);
}

void controller::impl::demanded(const servable_demand& what, instant now)
{
    this->proposals.demanded(what, now);
    this->uses.wanted(this->state, what.servable, now);
    this->wake(now);
}

void controller::impl::used(
    servable_id servable, instant now, std::uint32_t caller)
{
    this->uses.used(this->state, servable, now);
    this->policy.used(this->state, servable, now);
    if (caller != 0)
    {
        const servable_use use{servable, caller, now};
        this->preloads.used(use);
        this->tell_proposer(use, now);
    }
}

/// Lets one router know all visits of a caller, whichever routers they come
/// through.
void controller::impl::tell_proposer(const servable_use& use, instant now)
{
    const bool told = this->policy.kind() == placement_kind::gap_cost_preload &&
                      this->visits.should_tell(use);
    if (!told)
    {
        return;
    }
    const session_id to = rendezvous_choice(
        {rendezvous_domain::proposer, use.servable.value},
        this->fold_context(now).alive);
    const std::optional<session_view> session = this->state.session(to);
    if (!session || to == this->leases.session())
    {
        return;
    }
    this->out.emplace_back(forward_visit{
        to, std::string(session->peer_address), {use.servable, use.caller}});
}

void controller::impl::visited(const caller_visit& what, instant now)
{
    this->preloads.used({what.servable, what.caller, now});
}

void controller::impl::claim(const claim_request& asked, instant now)
{
    if (this->leaving_since)
    {
        claim_result refusal;
        refusal.key = asked.key;
        refusal.result = claim_result::status::unavailable;
        this->out.emplace_back(std::move(refusal));
        return;
    }
    this->claims.claim(this->context(now), asked);
    this->flush(now);
}

void controller::impl::close_claim(claim_close what, instant now)
{
    this->claims.close(this->context(now), std::move(what));
    this->flush(now);
}

void controller::impl::crash_seen(
    fingerprint request, engine_id engine, instant now)
{
    const control_context seen = this->context(now);
    seen.submit(request_suspect{request, engine, seen.self});
    this->flush(now);
}

void controller::impl::leave(instant now)
{
    if (this->leaving_since)
    {
        return;
    }
    this->leaving_since = now;
    this->leases.leave();
    this->orders.wind_down();
    this->keeper.wind_down();
    this->step(now);
}

void controller::impl::tick(stamp_ms wall, instant now)
{
    this->set_wall(wall, now);
    this->step(now);
}

std::vector<control_command> controller::impl::take_commands()
{
    return std::exchange(this->out, {});
}

bool controller::impl::may_send(const engine_order& order, instant now) const
{
    if (this->finished)
    {
        return false;
    }
    return order.granted ? this->may_send_granted(order, now)
                         : this->leases.may_order(
                               this->state, order.engine, order.held, now);
}

bool controller::impl::may_send_granted(
    const engine_order& order, instant now) const
{
    const std::optional<granted_model_view> model =
        this->state.granted_model(order.replica);
    return model && model->engine == order.engine &&
           model->held == order.held &&
           this->leases.may_order_granted(
               this->state, order.engine, order.held, now);
}

instant controller::impl::next_tick() const
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

const fleet_state& controller::impl::folded_state() const
{
    return this->state;
}

bool controller::impl::available(instant now) const
{
    return this->reachable &&
           now < this->last_read + this->settings.log_timeout;
}

bool controller::impl::joined() const
{
    return this->leases.joined();
}

session_id controller::impl::session() const
{
    return this->leases.session();
}

} // namespace roseworks
