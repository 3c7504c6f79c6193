#include "core/swapping/swap_planner.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// @return Options of the store's limiter. Loads that the owner starts for a
///         shift of demand are too few to observe the store's capacity first:
///         four at once take four times as long each at a store that loads one
///         model at full speed.
store_load_limiter::options limiter_options(const swap_planner::options& chosen)
{
    store_load_limiter::options made = chosen.store_limiter;
    if (chosen.copies_by_room)
        made.initial_concurrency = 1;
    return made;
}

} // namespace

swap_planner::swap_planner(options chosen)
    : settings(chosen)
    , store_limiter(limiter_options(chosen))
    , engine_loss(chosen.engine_loss)
{
}

std::vector<swap_order> swap_planner::plan(
    const engine_tracker& engines, const demand_tracker& needs, instant now)
{
    planning_round round{
        engines, needs, now, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}};
    round.waiting = needs.waiting_servables(now);
    this->collect_usage(round);
    if (this->settings.copies_by_room)
        this->collect_room(round);
    std::vector<placement_request> requests = this->collect_requests(round);
    for (const placement_request& request : requests)
        round.awaited_models.insert(
            servable_key(request.service, request.model));
    if (this->settings.copies_by_room)
        this->add_copies_for_demand(round, requests);
    else
        this->add_extra_copies(round, requests);
    std::ranges::stable_sort(
        requests,
        [](const placement_request& left, const placement_request& right)
        {
            return std::tie(left.objective, left.deadline) <
                   std::tie(right.objective, right.deadline);
        });
    for (const placement_request& request : requests)
    {
        if (request.adapter.empty())
            this->place_model(round, request);
        else
            this->place_adapter(round, request);
    }
    this->load_from_store(round);
    return std::move(round.orders);
}

void swap_planner::store_load_ended(
    const engine_tracker& engines, const engine_state& engine, instant now)
{
    const model_profile* model =
        engines.find_model(engine.entry.service, engine.order->model);
    if (model == nullptr)
        return;
    this->store_limiter.load_ended(
        now - engine.order->sent,
        model->load_from_store,
        engine.order->peak_store_loads);
}

void swap_planner::collect_usage(planning_round& round) const
{
    for (const auto& [id, engine] : round.engines.all())
    {
        const engine_usage& usage =
            round.usage_by_engine
                .emplace(&engine, this->collect_usage(round, engine))
                .first->second;
        if (engine.entry.leaving || !engine.reachable)
            continue;
        const std::string& service = engine.entry.service;
        for (std::size_t i = 0; i < engine.loaded_models.size(); ++i)
        {
            model_totals& totals = round.totals_by_model[servable_key(
                service, engine.loaded_models[i].name)];
            ++(engine.rate_limit > 0 ? totals.limited : totals.copies);
            totals.running += usage.loaded_models[i].running;
        }
        const bool loading = engine.order &&
                             engine.order->action == engine_action::load &&
                             engine.order->adapter.empty();
        if (loading)
            ++round.totals_by_model[servable_key(service, engine.order->model)]
                  .loading;
    }
}

swap_planner::engine_usage swap_planner::collect_usage(
    const planning_round& round, const engine_state& engine) const
{
    engine_usage usage;
    for (const loaded_model& loaded : engine.loaded_models)
    {
        model_usage& one = usage.loaded_models.emplace_back();
        one.last_used = loaded.loaded_at;
        const auto consider = [&](std::string_view servable)
        {
            const auto* use = round.needs.find_use(
                engine.entry.id, servable_key(engine.entry.service, servable));
            if (use == nullptr)
                return;
            one.running += use->running;
            one.last_used = std::max(one.last_used, use->last_used);
        };
        consider(loaded.name);
        for (const loaded_adapter& adapter : loaded.adapters)
            consider(loaded.name + "/" + adapter.name);
        usage.running += one.running;
    }
    return usage;
}

const swap_planner::model_totals&
swap_planner::totals_of(const planning_round& round, std::string_view key) const
{
    static const model_totals no_copies;
    const auto found = round.totals_by_model.find(std::string(key));
    return found == round.totals_by_model.end() ? no_copies : found->second;
}

std::vector<swap_planner::placement_request>
swap_planner::collect_requests(const planning_round& round) const
{
    std::vector<placement_request> requests;
    for (const waiting_servable& need : round.waiting)
    {
        const servable_parts parts = split_servable_key(need.servable);
        if (round.engines.find_model(parts.service, parts.model) == nullptr)
            continue;
        placement_request request;
        request.servable = need.servable;
        request.service = parts.service;
        request.model = parts.model;
        request.adapter = parts.adapter;
        request.software = need.software;
        request.waiting = need.waiting;
        request.objective = need.objective;
        request.deadline = need.deadline;
        const std::string key = servable_key(parts.service, parts.model);
        const model_totals& totals = this->totals_of(round, key);
        request.only_rate_limited =
            !request.software && totals.copies == 0 && totals.limited != 0;
        const bool has_model = request.software
                                   ? this->is_loaded(round, request)
                                   : totals.copies != 0;
        if (!request.adapter.empty() && !has_model)
            request.adapter.clear();
        requests.push_back(std::move(request));
    }
    return requests;
}

std::uint32_t swap_planner::max_running_per_copy(
    const planning_round& round, std::string_view service) const
{
    const engine_profile* profile = round.engines.find_profile(service);
    const double slots = profile == nullptr ? 1.0 : profile->slots;
    const auto by_slots = static_cast<std::uint32_t>(
        slots * this->settings.max_slot_share_per_copy);
    return std::clamp(by_slots, 1U, this->settings.max_running_per_copy);
}

std::size_t swap_planner::copies_needed(
    const planning_round& round,
    std::string_view service,
    const model_totals& totals) const
{
    if (this->settings.copies_by_room)
        return this->copies_for_demand(round, service, totals);
    const std::uint32_t per_copy = this->max_running_per_copy(round, service);
    return (totals.running + per_copy - 1) / per_copy;
}

void swap_planner::add_extra_copies(
    const planning_round& round, std::vector<placement_request>& requests) const
{
    for (const auto& [key, totals] : round.totals_by_model)
    {
        const servable_parts parts = split_servable_key(key);
        const std::size_t needed =
            this->copies_needed(round, parts.service, totals);
        // At most doubles the copies, because the counts of running requests
        // lag.
        const std::size_t missing = std::min(
            needed - std::min(needed, totals.copies + totals.loading),
            totals.copies - std::min(totals.copies, totals.loading));
        for (std::size_t i = 0; i < missing; ++i)
        {
            placement_request request;
            request.servable = key;
            request.service = parts.service;
            request.model = parts.model;
            request.waiting = totals.running;
            request.objective = round.now + this->settings.extra_copy_objective;
            request.deadline = instant::max();
            request.extra_copy = true;
            request.overloaded = needed >= this->settings.overload_factor *
                                               (totals.copies + totals.loading);
            requests.push_back(std::move(request));
        }
    }
    // The order of a hash map isn't deterministic.
    std::ranges::sort(
        requests, std::ranges::less(), &placement_request::servable);
}

bool swap_planner::is_loaded(
    const planning_round& round, const placement_request& request) const
{
    return std::ranges::any_of(
        round.engines.all(),
        [&request](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return is_of_use(engine, request) && !engine.entry.leaving &&
                   engine.reachable && engine.find(request.model) != nullptr;
        });
}

bool swap_planner::is_available(
    const planning_round& round, const placement_request& request) const
{
    if (!request.software)
    {
        const model_totals& totals = this->totals_of(
            round, servable_key(request.service, request.model));
        return totals.copies + totals.loading != 0;
    }
    const auto loads = [&request](const auto& order)
    {
        return order.action == engine_action::load && order.adapter.empty() &&
               order.model == request.model;
    };
    const auto is_loading = [&](const auto& entry)
    {
        const engine_state& engine = entry.second;
        return is_of_use(engine, request) && engine.order &&
               loads(*engine.order);
    };
    const auto is_ordered = [&](const swap_order& order)
    {
        return loads(order) &&
               is_of_use(*round.engines.find(order.engine), request);
    };
    return this->is_loaded(round, request) ||
           std::ranges::any_of(round.engines.all(), is_loading) ||
           std::ranges::any_of(round.orders, is_ordered);
}

void swap_planner::place_model(
    planning_round& round, const placement_request& request)
{
    const std::string key = servable_key(request.service, request.model);
    if (!request.extra_copy && this->is_available(round, request))
        return;
    if (!this->has_any_copy(round, request))
    {
        // A load from the store takes longer than a stream's caller waits.
        if (!request.extra_copy && !request.software)
            round.waiting_without_copy[key] += request.waiting;
        return;
    }
    const bool needs_store =
        this->settings.copies_by_room && request.overloaded &&
        request.copies_needed > this->engines_with_weights(round, request);
    if (needs_store)
        round.overloaded_without_weights[key] = request.waiting;
    const bool is_full = request.extra_copy && round.unplaceable.contains(key);
    bool placed = !is_full && this->load_on_best_engine(
                                  round, request, load_targets::with_weights);
    if (!placed && this->settings.copies_by_room && request.extra_copy)
        round.unplaceable.insert(key);
    if (!placed && request.only_rate_limited &&
        this->exceeds_rate_limits(round, request))
    {
        // No engine without a rate limit can load it now. A copy on a limited
        // engine adds that engine's rate.
        placement_request anywhere = request;
        anywhere.only_rate_limited = false;
        placed = this->load_on_best_engine(
            round, anywhere, load_targets::with_weights);
    }
    if (!placed && this->is_urgent(round, request))
        this->reserve_engine(round, request);
}

bool swap_planner::load_on_best_engine(
    planning_round& round,
    const placement_request& request,
    load_targets targets)
{
    const auto best = this->find_best_engine(round, request, targets);
    if (!best)
        return false;
    const std::string key = servable_key(request.service, request.model);
    const std::string& id = best->engine->entry.id;
    round.assigned_engines.insert(id);
    model_totals& totals = round.totals_by_model[key];
    swap_order order;
    order.engine = id;
    if (this->settings.copies_by_room)
    {
        order.copies = totals.copies + totals.limited + totals.loading;
        order.copies_needed = request.copies_needed;
        order.free_slots = best->free_slots;
    }
    // Requests may wait for a model and its adapters at once: one load serves
    // both.
    ++totals.loading;
    if (!best->victims.empty())
    {
        order.action = engine_action::unload;
        order.model = best->victims.front();
        order.source = {};
        round.orders.push_back(std::move(order));
        return true;
    }
    if (best->source == weight_source::store)
        this->store_limiter.load_started(round.now);
    order.model = request.model;
    order.source = best->source;
    order.waiting = request.waiting;
    round.orders.push_back(std::move(order));
    return true;
}

} // namespace roseworks
