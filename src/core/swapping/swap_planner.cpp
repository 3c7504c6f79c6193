#include "core/swapping/swap_planner.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

/// Time that an unload and its answer add before a load can be ordered.
constexpr duration unload_step = std::chrono::milliseconds(25);

instant last_used(
    const need_book& needs, const engine_state& engine, const held_model& held)
{
    instant last = held.loaded;
    const auto consider = [&](std::string_view servable)
    {
        const auto* use = needs.find_use(
            engine.entry.id, servable_key(engine.entry.service, servable));
        if (use != nullptr)
            last = std::max(last, use->last_used);
    };
    consider(held.name);
    for (const held_adapter& adapter : held.adapters)
        consider(held.name + "/" + adapter.name);
    return last;
}

std::uint32_t running_here(
    const need_book& needs, const engine_state& engine, const held_model& held)
{
    std::uint32_t total = 0;
    const auto add = [&](std::string_view servable)
    {
        const auto* use = needs.find_use(
            engine.entry.id, servable_key(engine.entry.service, servable));
        total += use == nullptr ? 0 : use->running;
    };
    add(held.name);
    for (const held_adapter& adapter : held.adapters)
        add(held.name + "/" + adapter.name);
    return total;
}

} // namespace

swap_planner::swap_planner(options chosen)
    : settings(chosen)
    , ceiling(chosen.store)
{
}

std::vector<swap_order> swap_planner::plan(
    const engine_book& engines, const need_book& needs, instant now)
{
    round current{engines, needs, now, {}, {}, {}, {}};
    std::vector<want> wants = this->collect(current);
    for (const want& what : wants)
        current.wanted.insert(servable_key(what.service, what.model));
    this->add_busy(current, wants);
    std::ranges::stable_sort(
        wants,
        [](const want& left, const want& right)
        {
            return std::tie(left.objective, left.deadline) <
                   std::tie(right.objective, right.deadline);
        });
    for (const want& what : wants)
    {
        if (what.adapter.empty())
            this->place_model(current, what);
        else
            this->place_adapter(current, what);
    }
    return std::move(current.orders);
}

std::vector<swap_planner::want>
swap_planner::collect(const round& current) const
{
    std::vector<want> wants;
    for (const wanted_servable& told : current.needs.wanted(current.now))
    {
        const servable_parts parts = split_servable_key(told.servable);
        if (current.engines.find_model(parts.service, parts.model) == nullptr)
            continue;
        want what;
        what.servable = told.servable;
        what.service = parts.service;
        what.model = parts.model;
        what.adapter = parts.adapter;
        what.waiting = told.waiting;
        what.objective = told.objective;
        what.deadline = told.deadline;
        const bool model_is_there =
            this->copies(current, parts.service, parts.model) != 0;
        if (!what.adapter.empty() && !model_is_there)
            what.adapter.clear();
        wants.push_back(std::move(what));
    }
    return wants;
}

void swap_planner::add_busy(
    const round& current, std::vector<want>& wants) const
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& [id, engine] : current.engines.all())
    {
        for (const held_model& held : engine.held)
        {
            if (!seen.emplace(engine.entry.service, held.name).second)
                continue;
            const std::size_t there =
                this->copies(current, engine.entry.service, held.name);
            const std::uint32_t running =
                this->running_of(current, engine.entry.service, held.name);
            if (running <= there * this->settings.running_per_copy)
                continue;
            want what;
            what.servable = servable_key(engine.entry.service, held.name);
            what.service = engine.entry.service;
            what.model = held.name;
            what.waiting = running;
            what.objective = current.now + this->settings.copy_urgency;
            what.deadline = instant::max();
            what.extra_copy = true;
            wants.push_back(std::move(what));
        }
    }
}

void swap_planner::place_model(round& current, const want& what)
{
    // A model and its adapters may be waited for at once.
    const std::string key = servable_key(what.service, what.model);
    if (this->on_its_way(current, what) || current.placed.contains(key))
        return;
    const bool there = this->copies(current, what.service, what.model) != 0;
    if (there && !what.extra_copy)
        return;
    const bool from_store = !this->copied_anywhere(current, what);
    if (from_store && (what.extra_copy || !this->store_allows(current, what)))
        return;
    const auto best = this->best_engine(current, what, from_store);
    if (!best)
        return;
    const std::string& id = best->engine->entry.id;
    current.taken.insert(id);
    current.placed.insert(key);
    if (!best->victims.empty())
    {
        current.orders.push_back(
            {id, engine_action::unload, best->victims.front(), "", {}, 0});
        return;
    }
    if (best->source == weight_source::store)
        this->ceiling.began(current.now);
    current.orders.push_back(
        {id, engine_action::load, what.model, "", best->source, what.waiting});
}

std::optional<swap_planner::candidate> swap_planner::best_engine(
    const round& current, const want& what, bool from_store) const
{
    const model_profile* model =
        current.engines.find_model(what.service, what.model);
    std::optional<candidate> best;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != what.service ||
            !engine.free(current.now) || current.taken.contains(id) ||
            engine.find(what.model) != nullptr)
            continue;
        auto one = this->examine(current, engine, *model, from_store);
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

std::optional<swap_planner::candidate> swap_planner::examine(
    const round& current,
    const engine_state& engine,
    const model_profile& model,
    bool from_store) const
{
    candidate one;
    one.engine = &engine;
    one.source = engine.source_of(model.name);
    if ((one.source == weight_source::store) != from_store)
        return std::nullopt;
    if (!this->make_room(current, engine, model.memory_mb, one.victims))
        return std::nullopt;
    one.ready_in = current.engines.load_time(model, one.source) +
                   unload_step * static_cast<int>(one.victims.size());
    one.running = this->running_on(current, engine);
    return one;
}

bool swap_planner::make_room(
    const round& current,
    const engine_state& engine,
    double needed_mb,
    std::vector<std::string>& victims) const
{
    const engine_profile* profile =
        current.engines.find_profile(engine.entry.service);
    double room = profile->memory_mb - engine.used_mb() - needed_mb;
    if (room >= 0)
        return true;
    std::vector<std::pair<instant, const held_model*>> idle;
    for (const held_model& held : engine.held)
    {
        if (this->may_unload(current, engine, held))
            idle.emplace_back(last_used(current.needs, engine, held), &held);
    }
    std::ranges::sort(idle);
    for (const auto& [since, held] : idle)
    {
        victims.push_back(held->name);
        room += held->size_mb();
        if (room >= 0)
            return true;
    }
    return false;
}

bool swap_planner::may_unload(
    const round& current,
    const engine_state& engine,
    const held_model& held) const
{
    const std::string key = servable_key(engine.entry.service, held.name);
    if (current.wanted.contains(key) ||
        running_here(current.needs, engine, held) != 0)
        return false;
    const instant last = last_used(current.needs, engine, held);
    if (current.now - last < this->settings.idle)
        return false;
    const std::size_t there =
        this->copies(current, engine.entry.service, held.name);
    const std::uint32_t running =
        this->running_of(current, engine.entry.service, held.name);
    const std::size_t needed =
        (running + this->settings.running_per_copy - 1) /
        this->settings.running_per_copy;
    return there > needed;
}

void swap_planner::place_adapter(round& current, const want& what) const
{
    const engine_state* best = nullptr;
    std::tuple<bool, std::uint32_t> best_cost;
    for (const auto& [id, engine] : current.engines.all())
    {
        const held_model* model = engine.find(what.model);
        if (engine.entry.service != what.service || model == nullptr ||
            engine.entry.leaving)
            continue;
        if (std::ranges::find(
                model->adapters, what.adapter, &held_adapter::name) !=
            model->adapters.end())
            return; // those who wait are told of it
        const bool on_its_way = engine.order &&
                                engine.order->adapter == what.adapter &&
                                engine.order->model == what.model;
        if (on_its_way)
            return;
        if (!engine.free(current.now) || current.taken.contains(id))
            continue;
        const engine_profile* profile =
            current.engines.find_profile(what.service);
        const bool full = engine.adapter_count() >= profile->adapter_places;
        const std::tuple cost(full, this->running_on(current, engine));
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
    order.model = what.model;
    order.adapter = what.adapter;
    order.waiting = what.waiting;
    if (std::get<0>(best_cost) &&
        !this->unload_adapter(current, *best, order))
        return;
    current.taken.insert(best->entry.id);
    current.orders.push_back(std::move(order));
}

bool swap_planner::unload_adapter(
    const round& current, const engine_state& engine, swap_order& order) const
{
    instant oldest = instant::max();
    for (const held_model& model : engine.held)
    {
        for (const held_adapter& adapter : model.adapters)
        {
            const auto* use = current.needs.find_use(
                engine.entry.id,
                servable_key(
                    engine.entry.service, model.name + "/" + adapter.name));
            const instant last =
                use == nullptr ? adapter.loaded
                               : std::max(adapter.loaded, use->last_used);
            const bool idle = (use == nullptr || use->running == 0) &&
                              current.now - last >= this->settings.idle;
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

bool swap_planner::store_allows(const round& current, const want& what)
{
    std::size_t engines = 0;
    std::size_t running = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != what.service || engine.entry.leaving)
            continue;
        ++engines;
        const bool loading =
            engine.order && engine.order->action == engine_action::load &&
            engine.order->source == weight_source::store;
        // What an engine that wasn't examined yet does may be such a load, by
        // the owner before.
        running += loading || !engine.examined ? 1 : 0;
    }
    running += static_cast<std::size_t>(std::ranges::count_if(
        current.orders,
        [](const swap_order& order)
        {
            return order.action == engine_action::load &&
                   order.adapter.empty() &&
                   order.source == weight_source::store;
        }));
    const std::size_t share =
        std::max<std::size_t>(engines / this->settings.engines_per_store_load, 1);
    const engine_profile* profile = current.engines.find_profile(what.service);
    return running < share &&
           this->ceiling.allows(
               profile->store_loads_per_second, running, current.now);
}

bool swap_planner::on_its_way(const round& current, const want& what) const
{
    return std::ranges::any_of(
        current.engines.all(),
        [&what](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return engine.entry.service == what.service && engine.order &&
                   engine.order->action == engine_action::load &&
                   engine.order->adapter.empty() &&
                   engine.order->model == what.model;
        });
}

bool swap_planner::copied_anywhere(const round& current, const want& what) const
{
    return std::ranges::any_of(
        current.engines.all(),
        [&what](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return engine.entry.service == what.service &&
                   !engine.entry.leaving &&
                   engine.source_of(what.model) != weight_source::store;
        });
}

std::uint32_t swap_planner::running_on(
    const round& current, const engine_state& engine) const
{
    std::uint32_t total = 0;
    for (const held_model& held : engine.held)
        total += running_here(current.needs, engine, held);
    return total;
}

std::size_t swap_planner::copies(
    const round& current,
    std::string_view service,
    std::string_view model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        current.engines.all(),
        [&](const auto& entry)
        {
            const engine_state& engine = entry.second;
            return engine.entry.service == service && !engine.entry.leaving &&
                   engine.find(model) != nullptr;
        }));
}

std::uint32_t swap_planner::running_of(
    const round& current,
    std::string_view service,
    std::string_view model) const
{
    std::uint32_t total = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        const held_model* held = engine.find(model);
        if (engine.entry.service == service && held != nullptr)
            total += running_here(current.needs, engine, *held);
    }
    return total;
}

} // namespace roseworks
