#include "core/placement/proposer.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

/// Interval between attempts to place a servable while no engine has room.
constexpr duration room_retry_interval = std::chrono::milliseconds(500);

/// The same while a report of an engine is expected, which may show room.
constexpr duration report_retry_interval = std::chrono::milliseconds(100);

/// A report that didn't arrive is requested again after this time.
constexpr duration report_request_memory = std::chrono::seconds(10);

/// After a failed load, the engine is chosen last for this time.
constexpr duration failure_memory = std::chrono::seconds(30);

/// The progress of a servable without demand is kept for this time.
constexpr duration progress_memory = std::chrono::minutes(1);

/// Shortest interval between replicas that are added beyond the minimum.
constexpr duration scale_up_interval = std::chrono::seconds(2);

} // namespace

proposer::proposer(
    const controller::options& wanted,
    const placement_policy& policy_source,
    preloader& preload_source,
    const activity& use_source,
    const vm_watch& vm_source,
    const engine_reports& report_source,
    const load_failures& streak_source)
    : settings(wanted)
    , policy(policy_source)
    , preloads(preload_source)
    , uses(use_source)
    , vms(vm_source)
    , reports(report_source)
    , load_streaks(streak_source)
{
}

void proposer::demanded(const servable_demand& reported, instant now)
{
    this->demands.update(reported, now);
    if (reported.waiting == 0)
    {
        return;
    }
    placement_progress& progress =
        this->progress_by_servable[reported.servable];
    if (!progress.short_since)
    {
        progress.short_since = now;
    }
}

bool proposer::is_demanded(servable_id id) const
{
    return this->demands.contains(id);
}

std::optional<priority> proposer::demand_priority(servable_id id) const
{
    if (!this->is_demanded(id))
    {
        return {};
    }
    return this->demands.total_of(id).urgency;
}

std::vector<servable_demand> proposer::own_demands() const
{
    return this->demands.own_demands();
}

bool proposer::usable(const engine_view& engine) const
{
    return engine.readable && engine.spec != nullptr &&
           !engine.spec->draining && !this->vms.leaving(engine.spec->vm);
}

void proposer::expire(instant now)
{
    std::erase_if(
        this->report_requests,
        [&](const auto& item)
        {
            return now >= item.second + report_request_memory;
        });
    this->demands.expire(now, this->settings.demand_hold);
    for (auto& [id, progress] : this->progress_by_servable)
    {
        std::erase_if(
            progress.failed_loads,
            [&](const auto& item)
            {
                return now >= item.second + failure_memory;
            });
        if (!this->is_demanded(id) && !this->with_minimum.contains(id))
        {
            progress.short_since.reset();
        }
    }
    // Most servables of a fleet are idle: nothing is kept of those.
    std::erase_if(
        this->progress_by_servable,
        [&](const auto& item)
        {
            const placement_progress& progress = item.second;
            return !this->is_demanded(item.first) && progress.pending.empty() &&
                   progress.failed_loads.empty() && !progress.short_since &&
                   now >= progress.last_change + progress_memory &&
                   now >= progress.next_attempt;
        });
}

void proposer::update_minimums(const fleet_state& state)
{
    this->with_minimum.clear();
    this->catalogue_changed = false;
    state.for_each_servable(
        [&](const servable_view& servable)
        {
            if (servable.min_replicas != 0)
            {
                this->with_minimum.insert(servable.id);
            }
        });
}

std::vector<servable_view> proposer::list_servables(const fleet_state& state)
{
    if (this->catalogue_changed)
    {
        this->update_minimums(state);
    }
    std::set<servable_id> ids = this->demands.servables();
    ids.insert(this->with_minimum.begin(), this->with_minimum.end());
    std::vector<servable_view> all;
    for (const servable_id id : ids)
    {
        const std::optional<servable_view> servable = state.servable(id);
        if (servable)
        {
            all.push_back(*servable);
        }
    }
    std::ranges::stable_sort(
        all,
        {},
        [&](const servable_view& servable)
        {
            return this->demands.total_of(servable.id).urgency;
        });
    return all;
}

void proposer::step(const control_context& context)
{
    this->expire(context.now);
    if (!context.log_available || !context.self)
    {
        return;
    }
    for (const servable_view& servable : this->list_servables(context.state))
    {
        this->step_servable(context, servable);
    }
    this->step_preloads(context);
}

proposer::replica_counts proposer::count_replicas(
    const control_context& context, const servable_view& servable) const
{
    replica_counts counts;
    context.state.for_each_replica_of(
        servable.id,
        [&](const replica_view& replica)
        {
            ++counts.existing;
            const std::optional<engine_view> engine =
                context.state.engine(replica.engine);
            const bool will_be_ready =
                replica.state == replica_state::decided ||
                replica.state == replica_state::loading ||
                replica.state == replica_state::ready;
            if (!will_be_ready || !engine || !this->usable(*engine))
            {
                return;
            }
            ++counts.useful;
            counts.ready += replica.state == replica_state::ready ? 1 : 0;
        });
    return counts;
}

std::size_t proposer::target_replicas(
    const servable_view& servable,
    const demand_table::total& demand,
    const replica_counts& counts)
{
    std::size_t target = servable.min_replicas;
    if (demand.waiting != 0)
    {
        const std::size_t streams =
            std::max<std::size_t>(1, servable.max_streams);
        const std::size_t for_waiting =
            (demand.waiting + streams - 1) / streams;
        target = std::max(target, for_waiting);
        // The ready replicas are busy, or no request would wait for long.
        const bool is_overloaded =
            counts.all_ready() &&
            std::size_t(demand.waiting) * 2 > counts.ready * streams;
        if (is_overloaded)
        {
            target = std::max(target, counts.useful + 1);
        }
    }
    return std::min<std::size_t>(target, servable.max_replicas);
}

instant proposer::proposal_due(
    const servable_view& servable,
    const placement_progress& progress,
    const replica_counts& counts,
    std::size_t rank) const
{
    const bool adds_to_minimum =
        counts.all_ready() &&
        counts.useful + progress.pending.size() >= servable.min_replicas;
    const duration pause = adds_to_minimum ? scale_up_interval : duration{};
    const instant due =
        std::max(*progress.short_since, progress.last_change + pause);
    // The next router in rank proposes when those before it don't.
    return due +
           this->settings.proposer_timeout * static_cast<duration::rep>(rank);
}

void proposer::step_servable(
    const control_context& context, const servable_view& servable)
{
    placement_progress& progress = this->progress_by_servable[servable.id];
    const demand_table::total demand = this->demands.total_of(servable.id);
    const std::size_t rank =
        context.rank(rendezvous_domain::proposer, servable.id.value);
    if (rank != 0)
    {
        this->forward_own_demand(context, servable.id, progress);
    }
    if (!servable.readable || context.now < progress.next_attempt ||
        context.now < this->load_streaks.not_before(servable.id))
    {
        return;
    }
    const replica_counts counts = this->count_replicas(context, servable);
    const std::size_t target = target_replicas(servable, demand, counts);
    std::size_t useful = counts.useful + progress.pending.size();
    std::size_t existing = counts.existing + progress.pending.size();
    if (useful >= target)
    {
        if (demand.waiting == 0)
        {
            progress.short_since.reset();
        }
        return;
    }
    if (!progress.short_since)
    {
        progress.short_since = context.now;
    }
    if (context.now < this->proposal_due(servable, progress, counts, rank))
    {
        return;
    }
    while (useful < target && existing < servable.max_replicas)
    {
        const std::size_t before = progress.pending.size();
        this->propose(context, servable, progress, demand.urgency);
        if (progress.pending.size() == before)
        {
            return;
        }
        ++useful;
        ++existing;
    }
}

void proposer::forward_own_demand(
    const control_context& context,
    servable_id id,
    placement_progress& progress)
{
    const std::optional<servable_demand> own = this->demands.own_demand(id);
    const instant due =
        progress.demand_forwarded_at + this->settings.demand_hold / 2;
    if (!own || context.now < due)
    {
        return;
    }
    const session_id to = rendezvous_choice(
        {rendezvous_domain::proposer, id.value}, context.alive);
    const std::optional<session_view> session = context.state.session(to);
    if (!session || to == context.self)
    {
        return;
    }
    progress.demand_forwarded_at = context.now;
    forward_demand message;
    message.to = to;
    message.peer_address = std::string(session->peer_address);
    message.what = *own;
    message.what.from = context.self;
    context.out.emplace_back(std::move(message));
}

void proposer::propose(
    const control_context& context,
    const servable_view& servable,
    placement_progress& progress,
    priority urgency)
{
    const std::optional<place> found =
        this->choose_engine(context, servable, progress, true);
    if (found)
    {
        const std::optional<engine_view> engine =
            context.state.engine(found->engine);
        this->decide(context, servable, *engine, found->base, urgency);
        return;
    }
    progress.next_attempt = context.now + room_retry_interval;
    const bool has_place =
        this->choose_engine(context, servable, progress, false).has_value();
    if (servable.is_adapter && !has_place)
    {
        this->demand_base(context, servable, urgency);
        return;
    }
    if (has_place && !this->make_room(context, servable) &&
        !this->requested_reports(context.now).empty())
    {
        progress.next_attempt = context.now + report_retry_interval;
    }
}

void proposer::decide(
    const control_context& context,
    const servable_view& servable,
    const engine_view& engine,
    replica_id base,
    priority urgency)
{
    replica_decide record;
    record.servable = servable.id;
    record.servable_revision = servable.current;
    record.engine = engine.id;
    record.engine_revision = engine.current;
    record.base = base;
    record.session = context.self;
    record.urgency = urgency;
    const std::uint64_t sequence = context.submit(record);
    this->progress_by_servable[servable.id].pending[sequence] = {
        engine.id, servable.memory_mib};
}

void proposer::demand_base(
    const control_context& context,
    const servable_view& adapter,
    priority urgency)
{
    servable_demand needed;
    needed.servable = adapter.base;
    needed.urgency = urgency;
    needed.waiting = 1;
    this->demanded(needed, context.now);
}

instant proposer::next_tick() const
{
    instant next = instant::max();
    for (const auto& [id, progress] : this->progress_by_servable)
    {
        if (this->is_demanded(id))
        {
            next = std::min(next, progress.next_attempt);
        }
    }
    return next;
}

} // namespace roseworks::detail
