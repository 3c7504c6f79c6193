// The part of `swap_planner` that loads weights from the store.

#include "core/serving/servable_key.hpp"
#include "core/swapping/swap_planner.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace roseworks
{

namespace
{

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

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
        const auto overloaded = round.overloaded_without_weights.find(key);
        if (overloaded != round.overloaded_without_weights.end())
        {
            // Until another engine has the weights, all of them wait longer.
            request.overloaded = true;
            request.extra_copy = true;
            request.copies_needed = this->copies_for_demand(
                round, service, this->totals_of(round, key));
            request.waiting = overloaded->second;
            request.waits_avoided += overloaded->second;
        }
        else if (
            copy_count >= this->settings.desired_copies ||
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
        const bool reserved = this->settings.copies_by_room &&
                              this->is_store_reserved(round, service);
        for (const placement_request& request : requests)
        {
            // Concurrent loads slow each other down: second copies on disk
            // wait until the overloaded models are loaded.
            const bool only_prevents_loss =
                !request.has_no_copy && !request.overloaded;
            if (reserved && only_prevents_loss)
                continue;
            const auto targets = this->store_load_targets(round, request);
            if (!targets)
                break;
            this->load_on_best_engine(round, request, *targets);
        }
    }
}

bool swap_planner::is_store_reserved(
    const planning_round& round, const std::string& service) const
{
    const auto loads_overloaded = [&](const auto& entry)
    {
        const engine_state& engine = entry.second;
        return engine.entry.service == service && engine.order &&
               engine.order->is_store_load() &&
               this->totals_of(
                       round, servable_key(service, engine.order->model))
                   .overloaded;
    };
    const auto is_of_service = [&service](const auto& entry)
    {
        return split_servable_key(entry.first).service == service;
    };
    return std::ranges::any_of(
               round.overloaded_without_weights, is_of_service) ||
           std::ranges::any_of(round.engines.all(), loads_overloaded);
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

} // namespace roseworks
