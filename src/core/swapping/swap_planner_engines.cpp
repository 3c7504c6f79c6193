// The part of `swap_planner` that chooses the engine for a load, and what the
// engine unloads first.

#include "core/serving/servable_key.hpp"
#include "core/swapping/swap_planner.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// Delay of a load by each unload that has to be ordered and answered first.
constexpr duration unload_delay = std::chrono::milliseconds(25);

/// @return Whether a copy on the engine adds capacity. On an engine with a rate
///         limit it does so only when the model isn't loaded elsewhere.
bool adds_capacity(const engine_state& engine, bool is_elsewhere)
{
    return !is_elsewhere || engine.rate_limit == 0;
}

/// @return Interval between requests at the engine's rate limit; zero when it
///         has none.
duration rate_limit_interval(const engine_state& engine)
{
    if (engine.rate_limit == 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / engine.rate_limit));
}

} // namespace

bool swap_planner::is_urgent(
    const planning_round& round, const placement_request& request) const
{
    if (request.extra_copy)
        return request.overloaded;
    if (request.objective == instant::max())
        return false;
    const model_profile* model =
        round.engines.find_model(request.service, request.model);
    const duration load = round.engines.load_time(*model, weight_source::disk);
    return request.objective - round.now - load < this->settings.reserve_slack;
}

void swap_planner::reserve_engine(
    planning_round& round, const placement_request& request) const
{
    const engine_state* best = nullptr;
    std::uint32_t least = 0;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (!is_of_use(engine, request) || engine.entry.leaving ||
            !engine.state_confirmed || round.assigned_engines.contains(id) ||
            engine.weight_source_of(request.model) == weight_source::store ||
            !adds_capacity(engine, request.only_rate_limited))
            continue;
        const std::uint32_t running = round.usage_by_engine.at(&engine).running;
        if (best != nullptr && running >= least)
            continue;
        best = &engine;
        least = running;
    }
    if (best != nullptr)
        round.assigned_engines.insert(best->entry.id);
}

std::optional<swap_planner::candidate> swap_planner::find_best_engine(
    const planning_round& round,
    const placement_request& request,
    load_targets targets) const
{
    const model_profile* model =
        round.engines.find_model(request.service, request.model);
    // With `copies_by_room`, a burst of requests for models that aren't loaded
    // doesn't replace copies in use.
    const bool urgent = this->is_urgent(round, request) &&
                        (!this->settings.copies_by_room || request.overloaded);
    const double most_copies =
        targets == load_targets::nearly_empty_disks
            ? this->nearly_empty_limit(round, request.service)
            : std::numeric_limits<double>::infinity();
    std::optional<candidate> best;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (static_cast<double>(engine.on_disk.size()) >= most_copies)
            continue;
        if (!is_of_use(engine, request) || !engine.accepts_orders(round.now) ||
            round.assigned_engines.contains(id) ||
            engine.find(request.model) != nullptr)
            continue;
        if (!adds_capacity(
                engine, request.only_rate_limited || request.extra_copy))
            continue;
        auto one = this->evaluate(round, engine, *model, targets, urgent);
        if (!one)
            continue;
        if (!best || this->is_preferred(round, *one, *best))
            best = std::move(one);
    }
    return best;
}

std::optional<swap_planner::candidate> swap_planner::evaluate(
    const planning_round& round,
    const engine_state& engine,
    const model_profile& model,
    load_targets targets,
    bool urgent) const
{
    candidate one;
    one.engine = &engine;
    one.source = engine.weight_source_of(model.name);
    const bool from_store = targets != load_targets::with_weights;
    if ((one.source == weight_source::store) != from_store)
        return std::nullopt;
    const bool fits =
        this->find_victims(round, engine, model.memory_mb, urgent, one.victims);
    if (!fits)
        return std::nullopt;
    one.ready_in = round.engines.load_time(model, one.source) +
                   unload_delay * static_cast<int>(one.victims.size()) +
                   rate_limit_interval(engine);
    one.running = round.usage_by_engine.at(&engine).running;
    if (this->settings.copies_by_room)
    {
        one.free_slots = this->free_slots(round, engine);
        one.wanted_by_overloaded =
            this->is_wanted_by_overloaded(round, engine, model.name);
    }
    return one;
}

bool swap_planner::find_victims(
    const planning_round& round,
    const engine_state& engine,
    double needed_mb,
    bool urgent,
    std::vector<std::string>& victims) const
{
    const engine_profile* profile =
        round.engines.find_profile(engine.entry.service);
    double free_mb = profile->memory_mb - engine.used_mb() - needed_mb;
    if (free_mb >= 0)
        return true;
    const engine_usage& usage = round.usage_by_engine.at(&engine);
    std::vector<std::tuple<std::uint32_t, instant, const loaded_model*>> idle;
    for (std::size_t i = 0; i < engine.loaded_models.size(); ++i)
    {
        const model_usage& one = usage.loaded_models[i];
        if (this->may_unload(
                round, engine, engine.loaded_models[i], one, urgent))
            idle.emplace_back(
                one.running, one.last_used, &engine.loaded_models[i]);
    }
    std::ranges::sort(idle);
    for (const auto& [running, since, loaded] : idle)
    {
        victims.push_back(loaded->name);
        free_mb += loaded->size_mb();
        if (free_mb >= 0)
            return true;
    }
    return false;
}

bool swap_planner::may_unload(
    const planning_round& round,
    const engine_state& engine,
    const loaded_model& loaded,
    const model_usage& usage,
    bool urgent) const
{
    const std::string key = servable_key(engine.entry.service, loaded.name);
    const std::uint32_t most =
        urgent ? this->settings.max_running_to_unload : 0;
    const bool used = usage.running != 0 || round.now - usage.last_used <
                                                this->settings.min_idle_time;
    const bool just_loaded =
        round.now - loaded.loaded_at < this->settings.min_idle_time;
    if (round.awaited_models.contains(key) || usage.running > most ||
        just_loaded || (used && !urgent))
        return false;
    model_totals rest = this->totals_of(round, key);
    rest.running -= std::min(rest.running, usage.running);
    const std::size_t copies =
        rest.copies + (engine.rate_limit > 0 ? rest.limited : 0);
    return copies > this->copies_needed(round, engine.entry.service, rest);
}

void swap_planner::place_adapter(
    planning_round& round, const placement_request& request) const
{
    const engine_state* best = nullptr;
    std::tuple<bool, std::uint32_t> best_cost;
    const std::string key = servable_key(request.service, request.model);
    const bool is_elsewhere = this->totals_of(round, key).copies != 0;
    if (this->settings.copies_by_room &&
        this->is_adapter_ordered(round, request))
        return;
    for (const auto& [id, engine] : round.engines.all())
    {
        const loaded_model* model = engine.find(request.model);
        if (!is_of_use(engine, request) || model == nullptr ||
            engine.entry.leaving || !engine.reachable ||
            !adds_capacity(engine, is_elsewhere))
            continue;
        if (std::ranges::find(
                model->adapters, request.adapter, &loaded_adapter::name) !=
            model->adapters.end())
        {
            if (request.extra_copy)
                continue;
            return; // the waiting routers are told that it is loaded
        }
        const bool is_loading = engine.order &&
                                engine.order->adapter == request.adapter &&
                                engine.order->model == request.model;
        if (is_loading)
            return;
        if (!engine.accepts_orders(round.now) ||
            round.assigned_engines.contains(id))
            continue;
        if (request.extra_copy && this->is_full(round, engine))
            continue;
        const engine_profile* profile =
            round.engines.find_profile(request.service);
        const bool full = engine.adapter_count() >= profile->adapter_slots;
        const std::tuple cost(full, round.usage_by_engine.at(&engine).running);
        if (best == nullptr || cost < best_cost)
        {
            best = &engine;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return;
    swap_order order;
    order.engine = best->entry.id;
    order.model = request.model;
    order.adapter = request.adapter;
    order.waiting = request.waiting;
    if (std::get<0>(best_cost) && !this->unload_adapter(round, *best, order))
        return;
    round.assigned_engines.insert(best->entry.id);
    round.orders.push_back(std::move(order));
}

bool swap_planner::unload_adapter(
    const planning_round& round,
    const engine_state& engine,
    swap_order& order) const
{
    instant oldest = instant::max();
    for (const loaded_model& model : engine.loaded_models)
    {
        for (const loaded_adapter& adapter : model.adapters)
        {
            const auto* use = round.needs.find_use(
                engine.entry.id,
                servable_key(
                    engine.entry.service, model.name + "/" + adapter.name));
            const instant last =
                use == nullptr ? adapter.loaded_at
                               : std::max(adapter.loaded_at, use->last_used);
            const bool idle = (use == nullptr || use->running == 0) &&
                              round.now - last >= this->settings.min_idle_time;
            if (!idle || last >= oldest)
                continue;
            oldest = last;
            order.action = engine_action::unload;
            order.model = model.name;
            order.adapter = adapter.name;
        }
    }
    return oldest != instant::max();
}

double swap_planner::nearly_empty_limit(
    const planning_round& round, std::string_view service) const
{
    const auto engines = std::ranges::count_if(
        round.engines.all(),
        [service](const auto& entry)
        {
            return entry.second.entry.service == service &&
                   !entry.second.entry.leaving;
        });
    const std::size_t models =
        round.engines.find_profile(service)->models.size();
    return static_cast<double>(models * this->settings.desired_copies) /
           static_cast<double>(std::max<std::ptrdiff_t>(engines, 1));
}

bool swap_planner::exceeds_rate_limits(
    const planning_round& round, const placement_request& request) const
{
    double rate = 0;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (engine.entry.service == request.service &&
            engine.find(request.model))
            rate += engine.rate_limit;
    }
    return request.waiting > rate;
}

bool swap_planner::has_any_copy(
    const planning_round& round, const placement_request& request) const
{
    return std::ranges::any_of(
        round.engines.all(),
        [&request](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return is_of_use(engine, request) && !engine.entry.leaving &&
                   engine.weight_source_of(request.model) !=
                       weight_source::store;
        });
}

} // namespace roseworks
