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

/// Nothing is evicted by an older report, unless a fresh one doesn't come.
constexpr duration fresh_report = std::chrono::seconds(10);
/// A fresh report is waited for so long.
constexpr duration report_patience = std::chrono::seconds(1);
/// Engines asked at once where no report shows what could go.
constexpr std::size_t most_asked = 4;

} // namespace

/// What making room on one engine takes.
struct proposer::eviction_plan
{
    bool under_way = false; ///< room is already being made there
    victim_plan victims;
};

bool proposer::evictable(
    const control_context& context, const replica_view& replica) const
{
    if (replica.state != replica_state::ready ||
        this->wanted(replica.servable) ||
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
    std::size_t staying = 0;
    context.state.for_each_replica_of(
        replica.servable,
        [&](const replica_view& other)
        {
            const bool leaves = this->evictions.contains(other.id);
            staying += other.state == replica_state::ready && !leaves ? 1 : 0;
        });
    bool has_adapters = false;
    context.state.for_each_replica_on(
        replica.engine,
        [&](const replica_view& other)
        {
            has_adapters = has_adapters || other.base == replica.id;
        });
    return !has_adapters && staying > servable->min_replicas;
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
            const bool leaves = replica.state == replica_state::draining ||
                                replica.state == replica_state::unloading ||
                                replica.state == replica_state::failed ||
                                this->evictions.contains(replica.id);
            if (leaves)
            {
                being_freed += replica.memory_mib;
                return;
            }
            // An adapter is never let in at the price of its own base.
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
        plan.under_way = true;
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
    bool under_way = false;
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
            under_way = under_way || plan.under_way;
            const bool better = plan.victims.possible &&
                                (!best || plan.victims.cheaper_than(*best));
            if (better)
            {
                best = std::move(plan.victims);
                chosen_engine = engine.id;
            }
            else if (
                !best && unknown.size() < most_asked &&
                !this->has_fresh_report(engine.id, context.now))
            {
                unknown.push_back(engine.id);
            }
        });
    if (under_way)
    {
        return false;
    }
    if (!best)
    {
        for (const engine_id engine : unknown)
        {
            this->ask_report(engine, context.now);
        }
        return false;
    }
    if (this->ask_report(chosen_engine, context.now))
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
    return sighting != nullptr && now <= sighting->read + fresh_report;
}

/// @return Whether a fresh report of the engine is to be waited for.
bool proposer::ask_report(engine_id engine, instant now)
{
    if (this->has_fresh_report(engine, now))
    {
        return false;
    }
    const auto [asked, is_new] = this->asked_reports.try_emplace(engine, now);
    return now < asked->second + report_patience;
}

std::set<engine_id> proposer::wanted_reads(instant now) const
{
    std::set<engine_id> wanted;
    for (const auto& [engine, asked] : this->asked_reports)
    {
        if (now < asked + report_patience &&
            !this->has_fresh_report(engine, now))
        {
            wanted.insert(engine);
        }
    }
    return wanted;
}

} // namespace roseworks::detail
