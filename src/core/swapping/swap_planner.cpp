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

/// Time that an unload and its answer add before a load can be ordered.
constexpr duration unload_step = std::chrono::milliseconds(25);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// @return Whether another copy of a model helps there.
bool relieves(const engine_state& engine, bool is_elsewhere)
{
    return !is_elsewhere || engine.rate_limit == 0;
}

/// @return Until an engine takes a request that comes at its limit.
duration limited_pause(const engine_state& engine)
{
    if (engine.rate_limit == 0)
        return duration::zero();
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / engine.rate_limit));
}

} // namespace

swap_planner::swap_planner(options chosen)
    : settings(chosen)
    , ceiling(chosen.store)
    , departures(chosen.departures)
{
}

std::vector<swap_order> swap_planner::plan(
    const engine_book& engines, const need_book& needs, instant now)
{
    round current{engines, needs, now, {}, {}, {}, {}, {}, {}};
    this->survey(current);
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
    this->load_from_store(current);
    return std::move(current.orders);
}

void swap_planner::store_load_ended(
    const engine_book& engines, const engine_state& engine, instant now)
{
    const model_profile* model =
        engines.find_model(engine.entry.service, engine.order->model);
    if (model == nullptr)
        return;
    this->ceiling.ended(
        now - engine.order->sent,
        model->load_from_store,
        engine.order->at_once);
}

void swap_planner::survey(round& current) const
{
    for (const auto& [id, engine] : current.engines.all())
    {
        const engine_info& info =
            current.infos.emplace(&engine, this->survey(current, engine))
                .first->second;
        if (engine.entry.leaving || !engine.reachable)
            continue;
        const std::string& service = engine.entry.service;
        for (std::size_t i = 0; i < engine.held.size(); ++i)
        {
            model_sum& sum =
                current.sums[servable_key(service, engine.held[i].name)];
            ++(engine.rate_limit > 0 ? sum.limited : sum.copies);
            sum.running += info.held[i].running;
        }
        const bool loading = engine.order &&
                             engine.order->action == engine_action::load &&
                             engine.order->adapter.empty();
        if (loading)
            ++current.sums[servable_key(service, engine.order->model)].loading;
    }
}

swap_planner::engine_info
swap_planner::survey(const round& current, const engine_state& engine) const
{
    engine_info info;
    for (const held_model& held : engine.held)
    {
        held_info& one = info.held.emplace_back();
        one.last_used = held.loaded;
        const auto consider = [&](std::string_view servable)
        {
            const auto* use = current.needs.find_use(
                engine.entry.id, servable_key(engine.entry.service, servable));
            if (use == nullptr)
                return;
            one.running += use->running;
            one.last_used = std::max(one.last_used, use->last_used);
        };
        consider(held.name);
        for (const held_adapter& adapter : held.adapters)
            consider(held.name + "/" + adapter.name);
        info.running += one.running;
    }
    return info;
}

const swap_planner::model_sum&
swap_planner::sum_of(const round& current, std::string_view key) const
{
    static const model_sum nowhere;
    const auto found = current.sums.find(std::string(key));
    return found == current.sums.end() ? nowhere : found->second;
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
        const std::string key = servable_key(parts.service, parts.model);
        const model_sum& sum = this->sum_of(current, key);
        what.only_limited = sum.copies == 0 && sum.limited != 0;
        if (!what.adapter.empty() && sum.copies == 0)
            what.adapter.clear();
        wants.push_back(std::move(what));
    }
    return wants;
}

std::uint32_t swap_planner::running_per_copy(
    const round& current, std::string_view service) const
{
    const engine_profile* profile = current.engines.find_profile(service);
    const double slots = profile == nullptr ? 1.0 : profile->slots;
    const auto by_slots =
        static_cast<std::uint32_t>(slots * this->settings.slots_per_copy);
    return std::clamp(by_slots, 1U, this->settings.running_per_copy);
}

std::size_t swap_planner::copies_needed(
    const round& current, std::string_view service, const model_sum& sum) const
{
    const std::uint32_t each = this->running_per_copy(current, service);
    return (sum.running + each - 1) / each;
}

void swap_planner::add_busy(
    const round& current, std::vector<want>& wants) const
{
    for (const auto& [key, sum] : current.sums)
    {
        const servable_parts parts = split_servable_key(key);
        const std::size_t needed =
            this->copies_needed(current, parts.service, sum);
        // Doubled at most: what runs says how many are needed, and lags.
        const std::size_t more = std::min(
            needed - std::min(needed, sum.copies + sum.loading),
            sum.copies - std::min(sum.copies, sum.loading));
        for (std::size_t i = 0; i < more; ++i)
        {
            want what;
            what.servable = key;
            what.service = parts.service;
            what.model = parts.model;
            what.waiting = sum.running;
            what.objective = current.now + this->settings.copy_urgency;
            what.deadline = instant::max();
            what.extra_copy = true;
            what.overloaded =
                needed >= this->settings.overload * (sum.copies + sum.loading);
            wants.push_back(std::move(what));
        }
    }
    std::ranges::sort(
        wants, std::ranges::less(), &want::servable); // hashing has no order
}

void swap_planner::place_model(round& current, const want& what)
{
    const std::string key = servable_key(what.service, what.model);
    const model_sum& sum = this->sum_of(current, key);
    const bool there = sum.copies + sum.loading != 0;
    if (there && !what.extra_copy)
        return;
    if (!this->copied_anywhere(current, what))
    {
        if (!what.extra_copy)
            current.uncopied[key] += what.waiting;
        return;
    }
    bool placed = this->load_on_best(current, what, sources::own_copies);
    if (!placed && what.only_limited && this->is_outpaced(current, what))
    {
        // All are limited: another one gives the model its pace, too.
        want anywhere = what;
        anywhere.only_limited = false;
        placed = this->load_on_best(current, anywhere, sources::own_copies);
    }
    if (!placed && this->is_urgent(current, what))
        this->reserve(current, what);
}

bool swap_planner::is_outpaced(const round& current, const want& what) const
{
    double pace = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service == what.service && engine.find(what.model))
            pace += engine.rate_limit;
    }
    return what.waiting > pace;
}

bool swap_planner::load_on_best(round& current, const want& what, sources from)
{
    const auto best = this->best_engine(current, what, from);
    if (!best)
        return false;
    const std::string key = servable_key(what.service, what.model);
    const std::string& id = best->engine->entry.id;
    current.taken.insert(id);
    // A model and its adapters may be waited for at once.
    ++current.sums[key].loading;
    if (!best->victims.empty())
    {
        current.orders.push_back(
            {id, engine_action::unload, best->victims.front(), "", {}, 0});
        return true;
    }
    if (best->source == weight_source::store)
        this->ceiling.began(current.now);
    current.orders.push_back(
        {id, engine_action::load, what.model, "", best->source, what.waiting});
    return true;
}

std::unordered_map<std::string_view, std::size_t>
swap_planner::count_copies(const round& current, std::string_view service) const
{
    std::unordered_map<std::string_view, std::size_t> copies;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != service || engine.entry.leaving ||
            !engine.reachable)
            continue;
        for (const std::string& model : engine.on_disk)
            ++copies[model];
        for (const held_model& held : engine.held)
            copies[held.name] +=
                std::ranges::count(engine.on_disk, held.name) == 0 ? 1 : 0;
        if (engine.order && engine.order->is_store_load())
            ++copies[engine.order->model];
    }
    return copies;
}

std::vector<swap_planner::want> swap_planner::store_wants(
    const round& current, const std::string& service) const
{
    const auto copies = this->count_copies(current, service);
    std::vector<want> wants;
    for (const model_profile& model :
         current.engines.find_profile(service)->models)
    {
        const std::string key = servable_key(service, model.name);
        const auto waiting = current.uncopied.find(key);
        const auto found = copies.find(model.name);
        const std::size_t has = found == copies.end() ? 0 : found->second;
        want one;
        one.waiting = waiting == current.uncopied.end() ? 0 : waiting->second;
        const double during_load = current.needs.demand_rate(key, current.now) *
                                   seconds(model.load_from_store);
        const double loss = std::pow(this->departures.chance(), has);
        const double soon = std::pow(
            seconds(model.load_from_store) /
                seconds(this->settings.departures.memory),
            has);
        one.spared = one.waiting + during_load * loss * soon;
        const double expected =
            has == 0 ? std::min(current.needs.demand(key, current.now), 1.0)
                     : during_load * loss;
        if (has >= this->settings.spare_copies ||
            one.waiting + expected < this->settings.requests_per_spare)
            continue;
        one.uncopied = has == 0;
        one.servable = key;
        one.service = service;
        one.model = model.name;
        one.objective = instant::max();
        one.deadline = instant::max();
        wants.push_back(std::move(one));
    }
    std::ranges::stable_sort(wants, std::ranges::greater(), &want::spared);
    return wants;
}

void swap_planner::watch_departures(const round& current)
{
    std::set<std::string> staying;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (!engine.entry.leaving)
            staying.insert(id);
    }
    this->departures.seen(std::move(staying), current.now);
}

void swap_planner::load_from_store(round& current)
{
    const bool due =
        current.now - this->copies_counted >= this->settings.spare_pause;
    if (current.uncopied.empty() && !due)
        return;
    this->copies_counted = current.now;
    this->watch_departures(current);
    std::set<std::string> services;
    for (const auto& [id, engine] : current.engines.all())
        services.insert(engine.entry.service);
    this->expected.clear();
    for (const std::string& service : services)
    {
        const std::vector<want> wants = this->store_wants(current, service);
        this->foresee(current, service, wants);
        for (const want& what : wants)
        {
            const auto from = this->store_allows(current, what);
            if (!from)
                break;
            this->load_on_best(current, what, *from);
        }
    }
}

std::vector<instant> swap_planner::store_slots(
    const round& current, const std::string& service) const
{
    std::vector<instant> ends;
    std::size_t engines = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != service || engine.entry.leaving)
            continue;
        ++engines;
        if (!engine.order || !engine.order->is_store_load())
            continue;
        const model_profile* model =
            current.engines.find_model(service, engine.order->model);
        const duration whole =
            model == nullptr ? duration::zero() : model->load_from_store;
        ends.push_back(std::max(engine.order->sent + whole, current.now));
    }
    const std::size_t most = this->most_store_loads(engines);
    if (ends.size() < most)
        ends.resize(most, current.now);
    std::ranges::sort(ends);
    return ends;
}

void swap_planner::foresee(
    const round& current,
    const std::string& service,
    std::span<const want> wants)
{
    const auto copies = this->count_copies(current, service);
    for (const auto& [id, engine] : current.engines.all())
    {
        const bool loads = engine.entry.service == service &&
                           !engine.entry.leaving && engine.reachable &&
                           engine.order && engine.order->is_store_load();
        if (!loads || copies.at(engine.order->model) != 1)
            continue;
        const model_profile* model =
            current.engines.find_model(service, engine.order->model);
        if (model != nullptr)
            this->expected.push_back(
                {servable_key(service, model->name),
                 engine.order->sent + model->load_from_store});
    }
    std::vector<instant> slots = this->store_slots(current, service);
    for (const want& what : wants)
    {
        const model_profile* model =
            current.engines.find_model(service, what.model);
        const instant ready = slots.front() + model->load_from_store;
        if (what.uncopied)
            this->expected.push_back({what.servable, ready});
        slots.front() = ready;
        std::ranges::sort(slots);
    }
}

std::size_t swap_planner::most_store_loads(std::size_t engines) const
{
    // The other half is for what their disks have.
    return std::min(
        this->ceiling.most_at_once(), std::max<std::size_t>(engines / 2, 1));
}

bool swap_planner::is_urgent(const round& current, const want& what) const
{
    if (what.extra_copy)
        return what.overloaded;
    if (what.objective == instant::max())
        return false;
    const model_profile* model =
        current.engines.find_model(what.service, what.model);
    const duration load =
        current.engines.load_time(*model, weight_source::disk);
    return what.objective - current.now - load < this->settings.reserve_slack;
}

void swap_planner::reserve(round& current, const want& what) const
{
    const engine_state* best = nullptr;
    std::uint32_t least = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != what.service || engine.entry.leaving ||
            !engine.examined || current.taken.contains(id) ||
            engine.source_of(what.model) == weight_source::store ||
            !relieves(engine, what.only_limited))
            continue;
        const std::uint32_t running = current.infos.at(&engine).running;
        if (best != nullptr && running >= least)
            continue;
        best = &engine;
        least = running;
    }
    if (best != nullptr)
        current.taken.insert(best->entry.id);
}

std::optional<swap_planner::candidate> swap_planner::best_engine(
    const round& current, const want& what, sources from) const
{
    const model_profile* model =
        current.engines.find_model(what.service, what.model);
    const bool urgent = this->is_urgent(current, what);
    const double most_copies = from == sources::bare_disks
                                   ? this->bare_limit(current, what.service)
                                   : std::numeric_limits<double>::infinity();
    std::optional<candidate> best;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (static_cast<double>(engine.on_disk.size()) >= most_copies)
            continue;
        if (engine.entry.service != what.service || !engine.free(current.now) ||
            current.taken.contains(id) || engine.find(what.model) != nullptr)
            continue;
        if (!relieves(engine, what.only_limited || what.extra_copy))
            continue;
        auto one = this->examine(current, engine, *model, from, urgent);
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
    sources from,
    bool urgent) const
{
    candidate one;
    one.engine = &engine;
    one.source = engine.source_of(model.name);
    const bool from_store = from != sources::own_copies;
    if ((one.source == weight_source::store) != from_store)
        return std::nullopt;
    const bool room =
        this->make_room(current, engine, model.memory_mb, urgent, one.victims);
    if (!room)
        return std::nullopt;
    one.ready_in = current.engines.load_time(model, one.source) +
                   unload_step * static_cast<int>(one.victims.size()) +
                   limited_pause(engine);
    one.running = current.infos.at(&engine).running;
    return one;
}

bool swap_planner::make_room(
    const round& current,
    const engine_state& engine,
    double needed_mb,
    bool urgent,
    std::vector<std::string>& victims) const
{
    const engine_profile* profile =
        current.engines.find_profile(engine.entry.service);
    double room = profile->memory_mb - engine.used_mb() - needed_mb;
    if (room >= 0)
        return true;
    const engine_info& info = current.infos.at(&engine);
    std::vector<std::tuple<std::uint32_t, instant, const held_model*>> idle;
    for (std::size_t i = 0; i < engine.held.size(); ++i)
    {
        const held_info& one = info.held[i];
        if (this->may_unload(current, engine, engine.held[i], one, urgent))
            idle.emplace_back(one.running, one.last_used, &engine.held[i]);
    }
    std::ranges::sort(idle);
    for (const auto& [running, since, held] : idle)
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
    const held_model& held,
    const held_info& info,
    bool urgent) const
{
    const std::string key = servable_key(engine.entry.service, held.name);
    const std::uint32_t most =
        urgent ? this->settings.most_running_unloaded : 0;
    const bool used =
        info.running != 0 || current.now - info.last_used < this->settings.idle;
    const bool just_loaded = current.now - held.loaded < this->settings.idle;
    if (current.wanted.contains(key) || info.running > most || just_loaded ||
        (used && !urgent))
        return false;
    model_sum rest = this->sum_of(current, key);
    rest.running -= std::min(rest.running, info.running);
    const std::size_t copies =
        rest.copies + (engine.rate_limit > 0 ? rest.limited : 0);
    return copies > this->copies_needed(current, engine.entry.service, rest);
}

void swap_planner::place_adapter(round& current, const want& what) const
{
    const engine_state* best = nullptr;
    std::tuple<bool, std::uint32_t> best_cost;
    const std::string key = servable_key(what.service, what.model);
    const bool is_elsewhere = this->sum_of(current, key).copies != 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        const held_model* model = engine.find(what.model);
        if (engine.entry.service != what.service || model == nullptr ||
            engine.entry.leaving || !engine.reachable ||
            !relieves(engine, is_elsewhere))
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
        const bool full = engine.adapter_count() >= profile->adapter_slots;
        const std::tuple cost(full, current.infos.at(&engine).running);
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
    if (std::get<0>(best_cost) && !this->unload_adapter(current, *best, order))
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
            const instant last = use == nullptr
                                     ? adapter.loaded
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

double
swap_planner::bare_limit(const round& current, std::string_view service) const
{
    const auto engines = std::ranges::count_if(
        current.engines.all(),
        [service](const auto& entry)
        {
            return entry.second.entry.service == service &&
                   !entry.second.entry.leaving;
        });
    const std::size_t models =
        current.engines.find_profile(service)->models.size();
    return static_cast<double>(models * this->settings.spare_copies) /
           static_cast<double>(std::max<std::ptrdiff_t>(engines, 1));
}

std::optional<swap_planner::sources>
swap_planner::store_allows(const round& current, const want& what)
{
    std::size_t engines = 0;
    std::size_t running = 0;
    for (const auto& [id, engine] : current.engines.all())
    {
        if (engine.entry.service != what.service || engine.entry.leaving)
            continue;
        ++engines;
        const bool loading = engine.order && engine.order->is_store_load();
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
    const std::size_t share = std::max<std::size_t>(
        engines / this->settings.engines_per_store_load, 1);
    const engine_profile* profile = current.engines.find_profile(what.service);
    const bool allowed = this->ceiling.allows(
        profile->store_loads_per_second, running, current.now);
    if (!allowed || running >= this->most_store_loads(engines))
        return std::nullopt;
    return running < share ? sources::store : sources::bare_disks;
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

} // namespace roseworks
