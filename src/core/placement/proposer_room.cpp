#include "core/placement/place_choice.hpp"
#include "core/placement/proposer.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace roseworks::detail
{

namespace
{

/// An eviction needs a report that is no older, unless none arrives.
constexpr duration max_report_age = std::chrono::seconds(10);

/// An eviction waits this long for a report.
constexpr duration report_timeout = std::chrono::seconds(1);

/// Engines whose reports are requested at once if none is known to have
/// replicas to evict.
constexpr std::size_t max_report_requests = 4;

} // namespace

/// Evictions that make room for a replica on one engine.
struct proposer::eviction_plan
{
    bool in_progress = false; ///< evictions already free enough memory
    victim_plan victims;
};

bool proposer::evictable(
    const control_context& context, const replica_view& replica) const
{
    if (replica.state != replica_state::ready ||
        this->is_demanded(replica.servable) ||
        !this->uses.seen_by_engine(replica.id) ||
        this->uses.idle(replica, context.now) < this->settings.evict_grace)
    {
        return false;
    }
    const std::optional<servable_view> servable =
        context.state.servable(replica.servable);
    if (!servable)
    {
        return true;
    }
    std::size_t remaining = 0;
    context.state.for_each_replica_of(
        replica.servable,
        [&](const replica_view& other)
        {
            const bool is_leaving = this->evictions.contains(other.id);
            remaining +=
                other.state == replica_state::ready && !is_leaving ? 1 : 0;
        });
    bool has_adapters = false;
    context.state.for_each_replica_on(
        replica.engine,
        [&](const replica_view& other)
        {
            has_adapters = has_adapters || other.base == replica.id;
        });
    return !has_adapters && remaining > servable->min_replicas;
}

proposer::eviction_plan proposer::plan_eviction(
    const control_context& context,
    const servable_view& servable,
    const engine_view& engine) const
{
    eviction_plan plan;
    const std::uint64_t needed = std::uint64_t(engine.reserved_mib) +
                                 this->pending_mib(engine.id) +
                                 servable.memory_mib;
    std::uint64_t to_free =
        needed > engine.spec->memory_mib ? needed - engine.spec->memory_mib : 0;

    std::vector<victim> candidates;
    std::uint64_t being_freed = 0;
    context.state.for_each_replica_on(
        engine.id,
        [&](const replica_view& replica)
        {
            const bool is_leaving = replica.state == replica_state::draining ||
                                    replica.state == replica_state::unloading ||
                                    replica.state == replica_state::failed ||
                                    this->evictions.contains(replica.id);
            if (is_leaving)
            {
                being_freed += replica.memory_mib;
                return;
            }
            // An adapter needs its base, so that isn't evicted for it.
            if (replica.servable == servable.base ||
                !this->evictable(context, replica))
            {
                return;
            }
            const std::optional<servable_view> view =
                context.state.servable(replica.servable);
            const double value =
                view ? this->policy.eviction_value(
                           context.state,
                           *view,
                           this->uses.idle(replica, context.now))
                     : 0;
            candidates.push_back({value, replica.id.value, replica.memory_mib});
        });
    if (being_freed >= to_free)
    {
        plan.in_progress = true;
        return plan;
    }
    plan.victims = choose_victims(candidates, to_free - being_freed);
    return plan;
}

bool proposer::make_room(
    const control_context& context, const servable_view& servable)
{
    std::optional<victim_plan> best;
    engine_id chosen_engine;
    std::vector<engine_id> unknown;
    bool in_progress = false;
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            const bool fits =
                this->usable(engine) &&
                engine.spec->memory_mib >= servable.memory_mib &&
                engine.spec->accelerators >= servable.accelerators;
            const bool has_base =
                fits && (!servable.is_adapter ||
                         this->ready_base(context, servable, engine));
            if (!has_base)
            {
                return;
            }
            eviction_plan plan = this->plan_eviction(context, servable, engine);
            in_progress = in_progress || plan.in_progress;
            const bool better = plan.victims.possible &&
                                (!best || plan.victims.cheaper_than(*best));
            if (better)
            {
                best = std::move(plan.victims);
                chosen_engine = engine.id;
            }
            else if (
                !best && unknown.size() < max_report_requests &&
                !this->has_fresh_report(engine.id, context.now))
            {
                unknown.push_back(engine.id);
            }
        });
    if (in_progress)
    {
        return false;
    }
    if (!best)
    {
        for (const engine_id engine : unknown)
        {
            this->request_report(engine, context.now);
        }
        return false;
    }
    if (this->request_report(chosen_engine, context.now))
    {
        return false;
    }
    for (const std::uint64_t chosen : best->replicas)
    {
        const replica_id leaving(chosen);
        replica_report record;
        record.replica = leaving;
        record.to = replica_state::draining;
        record.session = context.self;
        record.cause = "evicted for " + std::string(servable.name);
        this->evictions[leaving] = context.submit(std::move(record));
    }
    return true;
}

bool proposer::has_fresh_report(engine_id engine, instant now) const
{
    const engine_sighting* sighting = this->reports.find(engine);
    return sighting != nullptr && now <= sighting->read + max_report_age;
}

/// Requests a report of an engine unless a recent one is known.
/// @return Whether the eviction has to wait for it.
bool proposer::request_report(engine_id engine, instant now)
{
    if (this->has_fresh_report(engine, now))
    {
        return false;
    }
    const auto [request, is_new] =
        this->report_requests.try_emplace(engine, now);
    return now < request->second + report_timeout;
}

std::set<engine_id> proposer::requested_reports(instant now) const
{
    std::set<engine_id> requested;
    for (const auto& [engine, requested_at] : this->report_requests)
    {
        if (now < requested_at + report_timeout &&
            !this->has_fresh_report(engine, now))
        {
            requested.insert(engine);
        }
    }
    return requested;
}

} // namespace roseworks::detail
