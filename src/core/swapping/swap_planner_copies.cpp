// The part of `swap_planner` that derives the number of copies and their
// engines from demand and free slots.

#include "core/serving/servable_key.hpp"
#include "core/swapping/swap_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// Loads that take equally many of these count as equally fast: those from host
/// memory and disk, unlike those from the store.
constexpr duration load_time_unit = std::chrono::seconds(2);

/// Engines whose free slots differ by less than this part of all slots count as
/// equally free. Otherwise a copy in use would be given up for one slot.
constexpr std::uint32_t room_levels = 4;

constexpr std::uint32_t usual_pace = 100; // percent

/// Share of the slots of a model's engines above which its requests have to
/// wait. Below 1, because a slot is empty while the next request is on its way.
constexpr double full_share = 0.85;

/// A model counts as overloaded for this long after its engines were last seen
/// to be full: the counts vary between two reports of the routers.
constexpr duration overload_hold = std::chrono::milliseconds(500);

/// Bounds the correction of the counts, which are noisy when they are low.
constexpr double max_lag_factor = 4;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

std::uint32_t swap_planner::slots_of(
    const planning_round& round, std::string_view service) const
{
    const engine_profile* profile = round.engines.find_profile(service);
    return profile == nullptr ? 1 : std::max(profile->slots, 1U);
}

std::uint32_t swap_planner::free_slots(
    const planning_round& round, const engine_state& engine) const
{
    const double slots = this->slots_of(round, engine.entry.service);
    const double running = round.usage_by_engine.at(&engine).estimated_running;
    const double free = std::max(slots - running, 0.0) * usual_pace /
                        std::max(engine.pace_percent, 1U);
    return static_cast<std::uint32_t>(std::lround(free));
}

double swap_planner::lag_factor(
    const planning_round& round,
    const std::string& key,
    const model_totals& totals,
    double interval) const
{
    if (totals.running == 0)
        return 1;
    // Routers report ends at once, but starts at their interval only. A request
    // is seen for its time less half the interval on average, or, if it is
    // shorter than the interval, for time^2 / (2 x interval).
    const double starts = round.needs.start_rate(key, round.now);
    const double seen = totals.running;
    const double estimate = seen >= starts * interval / 2
                                ? seen + starts * interval / 2
                                : std::sqrt(2 * interval * seen * starts);
    return std::clamp(estimate / seen, 1.0, max_lag_factor);
}

void swap_planner::collect_room(planning_round& round)
{
    const double interval =
        seconds(usage_report_interval(round.needs.active_routers(round.now)));
    for (auto& [key, totals] : round.totals_by_model)
        totals.lag_factor = this->lag_factor(round, key, totals, interval);
    for (const auto& [id, engine] : round.engines.all())
        this->collect_room(round, engine);
    for (const waiting_servable& need : round.waiting)
    {
        // Streams that need certain software don't wait for any copy.
        if (need.software)
            continue;
        const servable_parts parts = split_servable_key(need.servable);
        round.totals_by_model[servable_key(parts.service, parts.model)]
            .waiting += need.waiting;
    }
    for (auto& [key, totals] : round.totals_by_model)
    {
        const double slots =
            this->slots_of(round, split_servable_key(key).service);
        const bool full =
            totals.copies != 0 && totals.requests() != 0 &&
            totals.slots_in_use >=
                full_share * slots * static_cast<double>(totals.copies);
        if (full)
            this->overloaded_until[key] = round.now + overload_hold;
        totals.overloaded = totals.copies != 0 &&
                            this->overloaded_until.contains(key) &&
                            round.now < this->overloaded_until.at(key);
        if (totals.overloaded)
            round.overloaded_models.push_back(key);
    }
    for (auto& [engine, usage] : round.usage_by_engine)
    {
        for (const std::string& key : round.overloaded_models)
        {
            const servable_parts parts = split_servable_key(key);
            const bool has_weights =
                parts.service == engine->entry.service &&
                (engine->find(parts.model) != nullptr ||
                 engine->weight_source_of(parts.model) != weight_source::store);
            if (has_weights)
                usage.overloaded_models.push_back(parts.model);
        }
    }
    std::erase_if(
        this->overloaded_until,
        [&round](const auto& entry)
        {
            return entry.second <= round.now;
        });
}

void swap_planner::collect_room(
    planning_round& round, const engine_state& engine) const
{
    engine_usage& usage = round.usage_by_engine.at(&engine);
    const bool counts = !engine.entry.leaving && engine.reachable;
    if (!counts)
        return;
    std::vector<model_totals*> totals;
    for (std::size_t i = 0; i < engine.loaded_models.size(); ++i)
    {
        totals.push_back(&round.totals_by_model.at(
            servable_key(engine.entry.service, engine.loaded_models[i].name)));
        usage.estimated_running +=
            usage.loaded_models[i].running * totals.back()->lag_factor;
    }
    if (engine.rate_limit > 0)
        return;
    const double slots = this->slots_of(round, engine.entry.service);
    for (model_totals* const one : totals)
        one->slots_in_use += std::min(usage.estimated_running, slots);
}

std::size_t swap_planner::copies_for_demand(
    const planning_round& round,
    std::string_view service,
    const model_totals& totals) const
{
    // By Little's law, the requests that run and wait are the arrivals times
    // the time that a request takes.
    const double per_copy =
        this->slots_of(round, service) * this->settings.slot_share;
    return static_cast<std::size_t>(std::ceil(totals.requests() / per_copy));
}

void swap_planner::add_copies_for_demand(
    const planning_round& round, std::vector<placement_request>& requests) const
{
    for (const auto& [key, totals] : round.totals_by_model)
    {
        const servable_parts parts = split_servable_key(key);
        std::size_t needed =
            this->copies_for_demand(round, parts.service, totals);
        // The requests that wait at the routers for a loaded model aren't
        // known.
        if (totals.overloaded)
            needed = std::max(needed, 2 * totals.copies);
        // While a model isn't loaded anywhere, all its arrivals are reported as
        // waiting. The first copy alone would be full at once.
        const bool overloaded =
            totals.overloaded || (totals.copies == 0 && needed > 1);
        // The counts of running requests lag.
        const std::size_t most_loading =
            std::max(totals.copies, this->settings.min_added_copies);
        const std::size_t missing = std::min(
            needed - std::min(needed, totals.copies + totals.loading),
            most_loading - std::min(most_loading, totals.loading));
        // The waiting requests lead to the first copy.
        const bool is_first =
            totals.copies + totals.loading == 0 && !overloaded;
        for (std::size_t i = 0; !is_first && i < missing; ++i)
        {
            placement_request request;
            request.servable = key;
            request.service = parts.service;
            request.model = parts.model;
            request.waiting = static_cast<std::uint32_t>(totals.requests());
            // The requests for an overloaded model wait already.
            request.objective =
                overloaded ? round.now
                           : round.now + this->settings.extra_copy_objective;
            request.deadline = instant::max();
            request.extra_copy = true;
            request.overloaded = overloaded;
            request.copies_needed = needed;
            requests.push_back(std::move(request));
        }
    }
    this->add_extra_adapters(round, requests);
    // The order of a hash map isn't deterministic.
    std::ranges::stable_sort(
        requests, std::ranges::less(), &placement_request::servable);
}

void swap_planner::add_extra_adapters(
    const planning_round& round, std::vector<placement_request>& requests) const
{
    struct adapter_totals
    {
        std::size_t engines = 0;
        std::size_t full = 0;
        std::uint32_t running = 0;
    };
    std::map<std::string, adapter_totals> adapters;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (engine.entry.leaving || !engine.reachable)
            continue;
        const bool full = this->is_full(round, engine);
        for (const loaded_model& model : engine.loaded_models)
        {
            for (const loaded_adapter& adapter : model.adapters)
            {
                const std::string key = servable_key(
                    engine.entry.service, model.name + "/" + adapter.name);
                adapter_totals& totals = adapters[key];
                ++totals.engines;
                totals.full += full ? 1 : 0;
                const auto* use =
                    full ? round.needs.find_use(id, key) : nullptr;
                totals.running += use == nullptr ? 0 : use->running;
            }
        }
    }
    for (const auto& [key, totals] : adapters)
    {
        if (totals.full != totals.engines || totals.running == 0)
            continue;
        const servable_parts parts = split_servable_key(key);
        placement_request request;
        request.servable = key;
        request.service = parts.service;
        request.model = parts.model;
        request.adapter = parts.adapter;
        request.waiting = totals.running;
        request.objective = round.now + this->settings.extra_copy_objective;
        request.deadline = instant::max();
        request.extra_copy = true;
        requests.push_back(std::move(request));
    }
}

bool swap_planner::is_full(
    const planning_round& round, const engine_state& engine) const
{
    return round.usage_by_engine.at(&engine).estimated_running >=
           full_share * this->slots_of(round, engine.entry.service);
}

bool swap_planner::is_wanted_by_overloaded(
    const planning_round& round,
    const engine_state& engine,
    std::string_view other_than) const
{
    return std::ranges::any_of(
        round.usage_by_engine.at(&engine).overloaded_models,
        [other_than](std::string_view model)
        {
            return model != other_than;
        });
}

bool swap_planner::is_preferred(
    const planning_round& round,
    const candidate& left,
    const candidate& right) const
{
    if (!this->settings.copies_by_room)
        return std::tie(left.ready_in, left.running) <
               std::tie(right.ready_in, right.running);
    const auto cost = [&](const candidate& one)
    {
        const std::uint32_t slots =
            this->slots_of(round, one.engine->entry.service);
        const std::uint32_t taken = slots - std::min(slots, one.free_slots);
        return std::tuple(
            one.ready_in / load_time_unit,
            one.wanted_by_overloaded,
            taken * room_levels / slots,
            one.victims.size(),
            one.ready_in,
            one.running);
    };
    return cost(left) < cost(right);
}

std::size_t swap_planner::engines_with_weights(
    const planning_round& round, const placement_request& request) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        round.engines.all(),
        [&request](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return is_of_use(engine, request) && !engine.entry.leaving &&
                   engine.reachable && engine.rate_limit == 0 &&
                   (engine.find(request.model) != nullptr ||
                    engine.weight_source_of(request.model) !=
                        weight_source::store);
        }));
}

bool swap_planner::is_adapter_ordered(
    const planning_round& round, const placement_request& request) const
{
    return std::ranges::any_of(
        round.orders,
        [&](const swap_order& order)
        {
            return order.action == engine_action::load &&
                   order.model == request.model &&
                   order.adapter == request.adapter &&
                   is_of_use(*round.engines.find(order.engine), request);
        });
}

} // namespace roseworks
