#include "core/recovery/lease_keeper.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

constexpr duration first_retry = std::chrono::milliseconds(200);
constexpr duration longest_retry = std::chrono::seconds(5);

} // namespace

lease_keeper::lease_keeper(const controller::options& wanted)
    : settings(wanted)
{
}

void lease_keeper::start(const control_context& context)
{
    context.state.for_each_session(
        [&](const session_view& session)
        {
            this->note_session(context.state, session.id, context.now);
        });
    this->join_again(context);
}

void lease_keeper::join_again(const control_context& context)
{
    router_join join;
    join.name = this->settings.name;
    join.data_centre = this->settings.data_centre;
    join.peer_address = this->settings.peer_address;
    join.http_address = this->settings.http_address;
    this->self = {};
    this->pending_renew.reset();
    this->pending_join = context.submit(std::move(join));
}

void lease_keeper::note_session(
    const fleet_state& state, session_id id, instant now)
{
    const std::optional<session_view> session = state.session(id);
    if (!session || session->ended)
    {
        this->renewals.erase(id);
        return;
    }
    renewal_seen& seen = this->renewals[id];
    if (seen.renewal != session->last_renewal || seen.read == instant{})
    {
        seen = {session->last_renewal, now};
    }
}

void lease_keeper::folded(
    const control_context& context, const fold_event& event)
{
    for (const state_change& change : event.changes)
    {
        switch (change.what)
        {
        case state_change::kind::session_started:
        case state_change::kind::session_renewed:
        case state_change::kind::session_ended:
            this->note_session(context.state, change.session, context.now);
            break;
        default:
            break;
        }
    }
    if (!event.handed_out)
    {
        return;
    }
    const bool accepted = event.result.status == fold_status::accepted;
    const std::uint64_t sequence = event.value.id.sequence;
    if (sequence == this->pending_join)
    {
        this->pending_join.reset();
        this->superseded = !accepted;
        if (accepted)
        {
            this->self = session_id(event.offset.value);
            this->renewed = *event.handed_out;
            this->valid_until = *event.handed_out + this->settings.lease_term;
            this->renew_at = *event.handed_out + this->settings.lease_renew;
        }
        return;
    }
    if (sequence == this->pending_renew)
    {
        this->pending_renew.reset();
        if (accepted)
        {
            this->renewed = *event.handed_out;
            this->valid_until = *event.handed_out + this->settings.lease_term;
            this->renew_at = *event.handed_out + this->settings.lease_renew;
        }
        return;
    }
    for (auto& [id, lease] : this->engines)
    {
        if (lease.pending != sequence)
        {
            continue;
        }
        lease.pending.reset();
        lease.releasing = false;
        lease.retry =
            accepted ? duration{}
                     : std::clamp(lease.retry * 2, first_retry, longest_retry);
        lease.not_before = context.now + lease.retry;
    }
}

void lease_keeper::peers_changed(std::span<const session_id> hinted)
{
    this->hint.assign(hinted.begin(), hinted.end());
    std::sort(this->hint.begin(), this->hint.end());
}

void lease_keeper::log_returned(instant now)
{
    for (auto& [id, seen] : this->renewals)
    {
        seen.read = now;
    }
}

void lease_keeper::leave()
{
    this->leaving = true;
}

bool lease_keeper::lapsed(session_id id, duration term, instant now) const
{
    const auto seen = this->renewals.find(id);
    return seen != this->renewals.end() &&
           now >= seen->second.read + term + this->settings.lease_margin;
}

bool lease_keeper::in_force(instant now) const
{
    return this->joined() &&
           now < this->valid_until - this->settings.lease_margin;
}

std::vector<session_id>
lease_keeper::alive_sessions(const fleet_state& state, instant now) const
{
    std::vector<session_id> alive;
    state.for_each_session(
        [&](const session_view& session)
        {
            const bool hinted =
                this->hint.empty() ||
                std::binary_search(
                    this->hint.begin(), this->hint.end(), session.id);
            if (session.ended || session.id == this->self || !hinted ||
                this->lapsed(session.id, this->settings.lease_term, now))
            {
                return;
            }
            alive.push_back(session.id);
        });
    if (this->joined() && !this->leaving)
    {
        alive.push_back(this->self);
    }
    std::sort(alive.begin(), alive.end());
    return alive;
}

void lease_keeper::step(
    const control_context& context, const std::function<bool(engine_id)>& busy)
{
    if (this->superseded || this->pending_join)
    {
        return;
    }
    const std::optional<session_view> own = context.state.session(this->self);
    if (!own || own->ended)
    {
        // Somebody proved this process gone though it runs. Under a new session
        // it starts from nothing; a newer process of its name has the say.
        const session_id newest =
            context.state.live_session(author_of(this->settings.name));
        this->superseded = static_cast<bool>(newest);
        if (!this->superseded && !this->leaving)
        {
            context.commit.next_incarnation();
            this->join_again(context);
        }
        return;
    }
    this->renew(context);
    if (!context.log_available || !this->in_force(context.now))
    {
        return;
    }
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            this->step_engine(context, engine, busy);
        });
}

void lease_keeper::renew(const control_context& context)
{
    if (this->pending_renew || context.now < this->renew_at)
    {
        return;
    }
    this->pending_renew = context.submit(session_renew{this->self});
}

void lease_keeper::step_engine(
    const control_context& context,
    const engine_view& engine,
    const std::function<bool(engine_id)>& busy)
{
    engine_lease& lease = this->engines[engine.id];
    if (lease.pending || context.now < lease.not_before)
    {
        return;
    }
    if (engine.holder == this->self)
    {
        lease.takeable_since.reset();
        this->consider_release(context, engine, lease, busy(engine.id));
        return;
    }
    lease.misplaced_since.reset();
    const bool waited_for = context.state.order_may_be_in_flight(engine.id) &&
                            context.state.former_holder(engine.id, this->self);
    if (waited_for && !busy(engine.id))
    {
        this->release(context, engine.id, lease);
        return;
    }
    this->consider_taking(context, engine, lease);
}

void lease_keeper::consider_release(
    const control_context& context,
    const engine_view& engine,
    engine_lease& lease,
    bool engine_busy)
{
    const bool placed_here =
        !this->leaving &&
        context.rank(rendezvous_domain::engine_lease, engine.id.value) == 0;
    if (placed_here)
    {
        lease.misplaced_since.reset();
        return;
    }
    if (!lease.misplaced_since)
    {
        lease.misplaced_since = context.now;
    }
    const bool long_enough =
        this->leaving ||
        context.now >= *lease.misplaced_since + this->settings.lease_term;
    if (long_enough && !engine_busy)
    {
        this->release(context, engine.id, lease);
    }
}

void lease_keeper::release(
    const control_context& context, engine_id engine, engine_lease& lease)
{
    lease.pending = context.submit(lease_release{engine, this->self});
    lease.releasing = true;
}

bool lease_keeper::releasing(engine_id engine) const
{
    const auto lease = this->engines.find(engine);
    return lease != this->engines.end() && lease->second.releasing;
}

/// Under a standing grant a holder may order for longer than a lease's term.
duration
lease_keeper::term_of(const fleet_state& state, const engine_view& engine) const
{
    const std::optional<standing_grant_view> grant =
        state.standing_grant(engine.id);
    const bool of_holder = grant && grant->held == engine.held;
    const duration granted =
        std::chrono::milliseconds(of_holder ? grant->term_ms : 0);
    return std::max(this->settings.lease_term, granted);
}

bool lease_keeper::takeable(
    const fleet_state& state, const engine_view& engine, instant now) const
{
    if (!engine.holder)
    {
        return true;
    }
    const std::optional<session_view> holder = state.session(engine.holder);
    return !holder || holder->ended ||
           this->lapsed(engine.holder, this->term_of(state, engine), now);
}

void lease_keeper::consider_taking(
    const control_context& context,
    const engine_view& engine,
    engine_lease& lease)
{
    if (this->leaving || !engine.readable ||
        !this->takeable(context.state, engine, context.now))
    {
        lease.takeable_since.reset();
        return;
    }
    if (!lease.takeable_since)
    {
        lease.takeable_since = context.now;
    }
    const std::size_t rank =
        context.rank(rendezvous_domain::engine_lease, engine.id.value);
    const duration turn =
        this->settings.lease_renew * static_cast<duration::rep>(rank);
    if (context.now < *lease.takeable_since + turn)
    {
        return;
    }
    lease_acquire acquire;
    acquire.engine = engine.id;
    acquire.session = this->self;
    acquire.previous = engine.holder;
    if (engine.holder)
    {
        const std::optional<session_view> holder =
            context.state.session(engine.holder);
        acquire.previous_renewal = holder ? holder->last_renewal : log_offset{};
    }
    lease.pending = context.submit(acquire);
}

bool lease_keeper::may_order(
    const fleet_state& state, engine_id engine, fence held, instant now) const
{
    if (!this->in_force(now))
    {
        return false;
    }
    const std::optional<session_view> own = state.session(this->self);
    const std::optional<engine_view> view = state.engine(engine);
    return own && !own->ended && view && held && view->holder == this->self &&
           view->held == held;
}

bool lease_keeper::may_order_granted(
    const fleet_state& state, engine_id engine, fence held, instant now) const
{
    const std::optional<session_view> own = state.session(this->self);
    const std::optional<engine_view> view = state.engine(engine);
    const std::optional<standing_grant_view> grant =
        state.standing_grant(engine);
    if (!this->joined() || !own || own->ended || !view || !grant || !held ||
        view->holder != this->self || view->held != held ||
        grant->held != held || this->releasing(engine))
    {
        return false;
    }
    const duration term = std::chrono::milliseconds(grant->term_ms);
    return now < this->renewed + term - this->settings.lease_margin;
}

bool lease_keeper::grant_in_force(
    const fleet_state& state, const engine_view& engine, instant now) const
{
    if (this->joined() && engine.holder == this->self)
    {
        return this->may_order_granted(state, engine.id, engine.held, now);
    }
    const std::optional<standing_grant_view> grant =
        state.standing_grant(engine.id);
    const auto seen = this->renewals.find(engine.holder);
    if (!grant || grant->held != engine.held || seen == this->renewals.end())
    {
        return false;
    }
    const duration term = std::chrono::milliseconds(grant->term_ms);
    return now < seen->second.read + term - this->settings.lease_margin;
}

bool lease_keeper::holds_any(const fleet_state& state) const
{
    bool any = false;
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            any = any || (this->self && engine.holder == this->self);
        });
    return any;
}

bool lease_keeper::joined() const
{
    return static_cast<bool>(this->self);
}

session_id lease_keeper::session() const
{
    return this->self;
}

instant lease_keeper::next_tick() const
{
    if (!this->joined() || this->superseded || this->pending_renew)
    {
        return instant::max();
    }
    return this->renew_at;
}

} // namespace roseworks::detail
