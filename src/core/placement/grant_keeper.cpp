#include "core/placement/grant_keeper.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace roseworks::detail
{

namespace
{

/// Orders are numbered apart from the order keeper's and the settler's.
constexpr std::uint64_t first_order = std::uint64_t(1) << 62;
/// After an order that did nothing.
constexpr duration order_pause = std::chrono::seconds(1);

} // namespace

grant_keeper::grant_keeper(
    const controller::options& wanted,
    const lease_keeper& lease_source,
    const engine_reports& report_source,
    const activity& use_source,
    const proposer& demand_source)
    : settings(wanted)
    , leases(lease_source)
    , reports(report_source)
    , uses(use_source)
    , proposals(demand_source)
    , last_order(first_order)
{
}

void grant_keeper::answered(
    std::uint64_t order, order_outcome outcome, instant now)
{
    for (auto& [id, track] : this->engines)
    {
        for (auto& [replica, load] : track.loads)
        {
            if (load.order != order)
            {
                continue;
            }
            load.order.reset();
            load.answered = now;
            const bool taken = outcome == order_outcome::accepted;
            const bool lost = outcome == order_outcome::unknown;
            load.loading = taken || lost;
            load.used = load.used || taken || lost;
            load.unsure = lost || (load.unsure && !taken);
            load.not_before = now + order_pause;
        }
    }
}

void grant_keeper::reported(engine_id engine)
{
    const auto place = this->engines.find(engine);
    const engine_sighting* sighting = this->reports.find(engine);
    if (place == this->engines.end() || sighting == nullptr ||
        !sighting->report.reachable)
    {
        return;
    }
    for (auto& [id, load] : place->second.loads)
    {
        const bool sent = load.used || load.unsure;
        if (load.order || !sent || sighting->asked < load.answered)
        {
            continue;
        }
        const resident* found = sighting->find(id);
        load.unsure = load.unsure && found == nullptr;
        // A report of before the load may be read for as long as it lags.
        const bool late_enough =
            sighting->asked >= load.answered + this->settings.report_lag;
        if (found != nullptr || late_enough)
        {
            load.loading =
                found != nullptr && found->state == replica_state::loading;
        }
    }
}

void grant_keeper::wind_down()
{
    this->winding_down = true;
}

void grant_keeper::step(const control_context& context)
{
    this->urgent_engines.clear();
    if (this->settings.grants.memory_mib == 0)
    {
        return;
    }
    context.state.for_each_engine(
        [&](const engine_view& engine)
        {
            this->step_engine(context, engine);
        });
}

void grant_keeper::step_engine(
    const control_context& context, const engine_view& engine)
{
    const bool held = context.self && engine.holder == context.self;
    if (!held && !this->engines.contains(engine.id))
    {
        return;
    }
    engine_track& track = this->engines[engine.id];
    this->forget_settled(context, engine.id);
    if (!held || track.held != engine.held)
    {
        keep_what_may_arrive(track);
        track.held = held ? engine.held : fence{};
    }
    const bool watched = std::any_of(
        track.loads.begin(),
        track.loads.end(),
        [](const auto& item)
        {
            return item.second.loading || item.second.unsure;
        });
    if (watched)
    {
        this->urgent_engines.insert(engine.id);
    }
    if (!held)
    {
        if (track.loads.empty())
        {
            this->engines.erase(engine.id);
        }
        return;
    }
    if (engine.spec == nullptr || !engine.readable)
    {
        return;
    }
    if (!context.log_available)
    {
        this->load(context, engine, track);
        return;
    }
    const bool may_record =
        context.now >= track.records_not_before &&
        !this->leases.releasing(engine.id) &&
        this->leases.may_order(
            context.state, engine.id, engine.held, context.now);
    if (!may_record)
    {
        return;
    }
    this->look_for_room(context, engine, track);
    this->settle(context, engine, track);
    if (!this->winding_down && track.records.empty())
    {
        this->open(context, engine, track);
        this->name_models(context, engine, track);
    }
}

/// Loads under a lease that is over are its next holder's to settle; their
/// orders may be on their way still.
void grant_keeper::keep_what_may_arrive(engine_track& track)
{
    std::map<replica_id, load_track> loads = std::move(track.loads);
    std::erase_if(
        loads,
        [](const auto& item)
        {
            return !item.second.order && !item.second.unsure;
        });
    for (auto& [id, load] : loads)
    {
        load.used = false;
        load.loading = false;
    }
    track = {};
    track.loads = std::move(loads);
}

void grant_keeper::forget_settled(
    const control_context& context, engine_id engine)
{
    std::erase_if(
        this->engines.at(engine).loads,
        [&](const auto& item)
        {
            const auto& [id, load] = item;
            if (load.order || context.state.granted_model(id))
            {
                return false;
            }
            // An order that was lost may arrive until its replica is seen, or
            // is gone and the settle time over.
            const bool arrives =
                load.unsure &&
                (context.state.replica(id) ||
                 context.now < load.answered + this->settings.lost_order_grace);
            return !arrives;
        });
}

bool grant_keeper::busy(engine_id engine) const
{
    const auto track = this->engines.find(engine);
    return track != this->engines.end() &&
           std::any_of(
               track->second.loads.begin(),
               track->second.loads.end(),
               [](const auto& item)
               {
                   const load_track& load = item.second;
                   return load.order || load.used || load.unsure;
               });
}

bool grant_keeper::any_busy() const
{
    return std::any_of(
        this->engines.begin(),
        this->engines.end(),
        [&](const auto& item)
        {
            return this->busy(item.first);
        });
}

const std::set<engine_id>& grant_keeper::urgent() const
{
    return this->urgent_engines;
}

} // namespace roseworks::detail
