#include "core/swapping/swap_planner.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// Delay of a load by each unload that has to be ordered and answered first.
constexpr duration unload_delay = std::chrono::milliseconds(25);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

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

swap_planner::swap_planner(options chosen)
    : settings(chosen)
    , store_limiter(chosen.store_limiter)
    , engine_loss(chosen.engine_loss)
{
}

std::vector<swap_order> swap_planner::plan(
    const engine_tracker& engines, const demand_tracker& needs, instant now)
{
    planning_round round{engines, needs, now, {}, {}, {}, {}, {}, {}};
    this->collect_usage(round);
    std::vector<placement_request> requests = this->collect_requests(round);
    for (const placement_request& request : requests)
        round.awaited_models.insert(
            servable_key(request.service, request.model));
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
    for (const waiting_servable& need :
         round.needs.waiting_servables(round.now))
    {
        const servable_parts parts = split_servable_key(need.servable);
        if (round.engines.find_model(parts.service, parts.model) == nullptr)
            continue;
        placement_request request;
        request.servable = need.servable;
        request.service = parts.service;
        request.model = parts.model;
        request.adapter = parts.adapter;
        request.waiting = need.waiting;
        request.objective = need.objective;
        request.deadline = need.deadline;
        const std::string key = servable_key(parts.service, parts.model);
        const model_totals& totals = this->totals_of(round, key);
        request.only_rate_limited = totals.copies == 0 && totals.limited != 0;
        if (!request.adapter.empty() && totals.copies == 0)
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

void swap_planner::place_model(
    planning_round& round, const placement_request& request)
{
    const std::string key = servable_key(request.service, request.model);
    const model_totals& totals = this->totals_of(round, key);
    const bool is_available = totals.copies + totals.loading != 0;
    if (is_available && !request.extra_copy)
        return;
    if (!this->has_any_copy(round, request))
    {
        if (!request.extra_copy)
            round.waiting_without_copy[key] += request.waiting;
        return;
    }
    bool placed =
        this->load_on_best_engine(round, request, load_targets::with_weights);
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
    // Requests may wait for a model and its adapters at once: one load serves
    // both.
    ++round.totals_by_model[key].loading;
    if (!best->victims.empty())
    {
        round.orders.push_back(
            {id, engine_action::unload, best->victims.front(), "", {}, 0});
        return true;
    }
    if (best->source == weight_source::store)
        this->store_limiter.load_started(round.now);
    round.orders.push_back(
        {id,
         engine_action::load,
         request.model,
         "",
         best->source,
         request.waiting});
    return true;
}

std::unordered_map<std::string_view, std::size_t> swap_planner::count_copies(
    const planning_round& round, std::string_view service) const
{
    std::unordered_map<std::string_view, std::size_t> copies;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (engine.entry.service != service || engine.entry.leaving ||
            !engine.reachable)
            continue;
        for (const std::string& model : engine.on_disk)
            ++copies[model];
        for (const loaded_model& loaded : engine.loaded_models)
            copies[loaded.name] +=
                std::ranges::count(engine.on_disk, loaded.name) == 0 ? 1 : 0;
        if (engine.order && engine.order->is_store_load())
            ++copies[engine.order->model];
    }
    return copies;
}

std::vector<swap_planner::placement_request>
swap_planner::collect_store_requests(
    const planning_round& round, const std::string& service) const
{
    const auto copies = this->count_copies(round, service);
    std::vector<placement_request> requests;
    for (const model_profile& model :
         round.engines.find_profile(service)->models)
    {
        const std::string key = servable_key(service, model.name);
        const auto waiting = round.waiting_without_copy.find(key);
        const auto found = copies.find(model.name);
        const std::size_t copy_count =
            found == copies.end() ? 0 : found->second;
        placement_request request;
        request.waiting =
            waiting == round.waiting_without_copy.end() ? 0 : waiting->second;
        const double requests_during_load =
            round.needs.demand_rate(key, round.now) *
            seconds(model.load_from_store);
        const double all_lost_probability =
            std::pow(this->engine_loss.loss_probability(), copy_count);
        const double loss_during_load_probability = std::pow(
            seconds(model.load_from_store) /
                seconds(this->settings.engine_loss.window),
            copy_count);
        request.waits_avoided =
            request.waiting + requests_during_load * all_lost_probability *
                                  loss_during_load_probability;
        const double expected_waits =
            copy_count == 0 ? std::min(round.needs.demand(key, round.now), 1.0)
                            : requests_during_load * all_lost_probability;
        if (copy_count >= this->settings.desired_copies ||
            request.waiting + expected_waits <
                this->settings.min_expected_waits)
            continue;
        request.has_no_copy = copy_count == 0;
        request.servable = key;
        request.service = service;
        request.model = model.name;
        request.objective = instant::max();
        request.deadline = instant::max();
        requests.push_back(std::move(request));
    }
    std::ranges::stable_sort(
        requests, std::ranges::greater(), &placement_request::waits_avoided);
    return requests;
}

void swap_planner::update_engine_loss(const planning_round& round)
{
    std::set<std::string> present;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (!engine.entry.leaving)
            present.insert(id);
    }
    this->engine_loss.update(std::move(present), round.now);
}

void swap_planner::load_from_store(planning_round& round)
{
    const bool due = round.now - this->copies_counted_at >=
                     this->settings.copy_count_interval;
    if (round.waiting_without_copy.empty() && !due)
        return;
    this->copies_counted_at = round.now;
    this->update_engine_loss(round);
    std::set<std::string> services;
    for (const auto& [id, engine] : round.engines.all())
        services.insert(engine.entry.service);
    this->forecasts.clear();
    for (const std::string& service : services)
    {
        const std::vector<placement_request> requests =
            this->collect_store_requests(round, service);
        this->forecast_loads(round, service, requests);
        for (const placement_request& request : requests)
        {
            const auto targets = this->store_load_targets(round, request);
            if (!targets)
                break;
            this->load_on_best_engine(round, request, *targets);
        }
    }
}

std::vector<instant> swap_planner::store_slots(
    const planning_round& round, const std::string& service) const
{
    std::vector<instant> end_times;
    std::size_t engines = 0;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (engine.entry.service != service || engine.entry.leaving)
            continue;
        ++engines;
        if (!engine.order || !engine.order->is_store_load())
            continue;
        const model_profile* model =
            round.engines.find_model(service, engine.order->model);
        const duration load_duration =
            model == nullptr ? duration::zero() : model->load_from_store;
        end_times.push_back(
            std::max(engine.order->sent + load_duration, round.now));
    }
    const std::size_t most = this->max_store_loads(engines);
    if (end_times.size() < most)
        end_times.resize(most, round.now);
    std::ranges::sort(end_times);
    return end_times;
}

void swap_planner::forecast_loads(
    const planning_round& round,
    const std::string& service,
    std::span<const placement_request> requests)
{
    const auto copies = this->count_copies(round, service);
    for (const auto& [id, engine] : round.engines.all())
    {
        const bool loads = engine.entry.service == service &&
                           !engine.entry.leaving && engine.reachable &&
                           engine.order && engine.order->is_store_load();
        if (!loads || copies.at(engine.order->model) != 1)
            continue;
        const model_profile* model =
            round.engines.find_model(service, engine.order->model);
        if (model != nullptr)
            this->forecasts.push_back(
                {servable_key(service, model->name),
                 engine.order->sent + model->load_from_store});
    }
    std::vector<instant> slots = this->store_slots(round, service);
    for (const placement_request& request : requests)
    {
        const model_profile* model =
            round.engines.find_model(service, request.model);
        const instant ready = slots.front() + model->load_from_store;
        if (request.has_no_copy)
            this->forecasts.push_back({request.servable, ready});
        slots.front() = ready;
        std::ranges::sort(slots);
    }
}

std::size_t swap_planner::max_store_loads(std::size_t engines) const
{
    // The other half of the engines stays free for loads from disk.
    return std::min(
        this->store_limiter.concurrency_limit(),
        std::max<std::size_t>(engines / 2, 1));
}

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
        if (engine.entry.service != request.service || engine.entry.leaving ||
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
    const bool urgent = this->is_urgent(round, request);
    const double most_copies =
        targets == load_targets::nearly_empty_disks
            ? this->nearly_empty_limit(round, request.service)
            : std::numeric_limits<double>::infinity();
    std::optional<candidate> best;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (static_cast<double>(engine.on_disk.size()) >= most_copies)
            continue;
        if (engine.entry.service != request.service ||
            !engine.accepts_orders(round.now) ||
            round.assigned_engines.contains(id) ||
            engine.find(request.model) != nullptr)
            continue;
        if (!adds_capacity(
                engine, request.only_rate_limited || request.extra_copy))
            continue;
        auto one = this->evaluate(round, engine, *model, targets, urgent);
        if (!one)
            continue;
        const bool sooner =
            !best || std::tie(one->ready_in, one->running) <
                         std::tie(best->ready_in, best->running);
        if (sooner)
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
    for (const auto& [id, engine] : round.engines.all())
    {
        const loaded_model* model = engine.find(request.model);
        if (engine.entry.service != request.service || model == nullptr ||
            engine.entry.leaving || !engine.reachable ||
            !adds_capacity(engine, is_elsewhere))
            continue;
        if (std::ranges::find(
                model->adapters, request.adapter, &loaded_adapter::name) !=
            model->adapters.end())
            return; // the waiting routers are told that it is loaded
        const bool is_loading = engine.order &&
                                engine.order->adapter == request.adapter &&
                                engine.order->model == request.model;
        if (is_loading)
            return;
        if (!engine.accepts_orders(round.now) ||
            round.assigned_engines.contains(id))
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

std::optional<swap_planner::load_targets> swap_planner::store_load_targets(
    const planning_round& round, const placement_request& request)
{
    std::size_t engines = 0;
    std::size_t running = 0;
    for (const auto& [id, engine] : round.engines.all())
    {
        if (engine.entry.service != request.service || engine.entry.leaving)
            continue;
        ++engines;
        const bool loading = engine.order && engine.order->is_store_load();
        // An engine whose state is unconfirmed may be doing a load from the
        // store that the previous owner ordered.
        running += loading || !engine.state_confirmed ? 1 : 0;
    }
    running += static_cast<std::size_t>(std::ranges::count_if(
        round.orders,
        [](const swap_order& order)
        {
            return order.action == engine_action::load &&
                   order.adapter.empty() &&
                   order.source == weight_source::store;
        }));
    const std::size_t share = std::max<std::size_t>(
        engines / this->settings.engines_per_store_load, 1);
    const engine_profile* profile = round.engines.find_profile(request.service);
    const bool allowed = this->store_limiter.may_start(
        profile->store_loads_per_second, running, round.now);
    if (!allowed || running >= this->max_store_loads(engines))
        return std::nullopt;
    return running < share ? load_targets::without_weights
                           : load_targets::nearly_empty_disks;
}

bool swap_planner::has_any_copy(
    const planning_round& round, const placement_request& request) const
{
    return std::ranges::any_of(
        round.engines.all(),
        [&request](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return engine.entry.service == request.service &&
                   !engine.entry.leaving &&
                   engine.weight_source_of(request.model) !=
                       weight_source::store;
        });
}

} // namespace roseworks
