#include "fleet_replay.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace roseworks::testing
{

namespace
{

constexpr const char* service = "llm";
constexpr double memory_mb = 200'000;

std::string engine_name(std::size_t number)
{
    return "e" + std::to_string(number);
}

/// @return Interval between a router's reports of its running requests, in
///         steps.
std::size_t report_steps(std::size_t routers)
{
    return static_cast<std::size_t>(
        usage_report_interval(routers) / fleet_replay::step);
}

} // namespace

fleet_replay::fleet_replay(replay_scenario load)
    : scenario(std::move(load))
    , random(scenario.seed)
    , waiting(model_count)
    , routers(scenario.routers)
{
    swap_planner::options options;
    options.copies_by_room = this->scenario.copies_by_room;
    this->planner = std::make_unique<swap_planner>(options);
    this->make_configuration();
    this->make_engines();
}

std::string fleet_replay::name(std::size_t model) const
{
    return "m" + std::to_string(model);
}

bool fleet_replay::is_hot(std::size_t model) const
{
    return std::ranges::count(this->scenario.hot, model, &hot_period::model) !=
           0;
}

replay_count& fleet_replay::count_of(std::size_t model)
{
    if (model >= first_rare)
        return this->rare;
    return this->is_hot(model) ? this->hot : this->busy;
}

void fleet_replay::make_configuration()
{
    this->configuration = std::make_shared<deployment>();
    this->configuration->version = 1;
    service_profile& llm = this->configuration->services.emplace_back();
    llm.name = service;
    engine_profile& engine = llm.engine.emplace();
    engine.slots = slots;
    engine.memory_mb = memory_mb;
    engine.host_memory_mb = 130'000;
    engine.adapter_slots = 8;
    engine.store_loads_per_second = 15;
    std::uniform_real_distribution<double> size(34'300, 72'700);
    for (std::size_t i = 0; i < model_count; ++i)
    {
        model_profile model;
        model.name = this->name(i);
        model.memory_mb = size(this->random);
        model.load_from_store = store_load;
        model.load_from_disk = disk_load;
        model.load_from_memory = 600ms;
        engine.models.push_back(model);
    }
    this->tracker.set_configuration(this->configuration);
}

void fleet_replay::make_engines()
{
    const engine_profile& profile =
        *this->configuration->services.front().engine;
    std::vector<std::vector<std::string>> disks(engine_count);
    std::vector<std::vector<std::string>> loaded(engine_count);
    std::vector<double> free(engine_count, memory_mb);
    for (std::size_t model = 0; model < model_count; ++model)
    {
        const std::size_t copies =
            model < first_rare ? this->scenario.hot_disks : 2;
        std::vector<std::size_t> on;
        while (on.size() < copies)
        {
            const std::size_t engine = this->random() % engine_count;
            if (std::ranges::count(on, engine) == 0)
                on.push_back(engine);
        }
        const bool first =
            !this->scenario.hot.empty() && model == this->scenario.hot[0].model;
        std::size_t wanted = first ? this->scenario.hot_copies : 1;
        for (const std::size_t engine : on)
        {
            disks[engine].push_back(this->name(model));
            const double size = profile.models[model].memory_mb;
            if (wanted == 0 || free[engine] < size)
                continue;
            free[engine] -= size;
            --wanted;
            loaded[engine].push_back(this->name(model));
        }
    }
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        server_entry entry;
        entry.id = engine_name(i);
        entry.service = service;
        entry.address = "10.0.0.1:80";
        this->tracker.update_entry(entry);
        holdings_report report;
        for (const std::string& model : loaded[i])
            report.holdings.resident.push_back({model, {}});
        report.holdings.on_disk = disks[i];
        this->tracker.apply_engine_report(entry.id, report, at(-10s));
        this->runs[entry.id];
    }
}

void fleet_replay::play()
{
    for (instant now = at(0s); now < at(this->scenario.length); now += step)
    {
        this->fail(now);
        this->arrive(now);
        this->end_runs(now);
        this->progress_store_loads(now);
        this->tracker.complete_due_orders(now);
        this->give_up(now);
        this->assign(now);
        this->report(now);
        this->demands.tick(now);
        this->order(now);
        this->observe(now);
    }
}

double fleet_replay::hot_rate(const hot_period& period, instant now) const
{
    const bool active = now >= at(period.from) && now < at(period.until);
    return active ? period.rate : 0;
}

double fleet_replay::rare_rate(instant now) const
{
    double rate = this->scenario.rare_rate;
    for (const rare_burst& burst : this->scenario.bursts)
    {
        if (now >= at(burst.from) && now < at(burst.until))
            rate = burst.rate;
    }
    return rate;
}

void fleet_replay::arrive(instant now)
{
    const double seconds = std::chrono::duration<double>(step).count();
    for (const hot_period& period : this->scenario.hot)
    {
        const double mean = this->hot_rate(period, now) * seconds;
        if (mean == 0)
            continue;
        std::poisson_distribution<int> arrivals(mean);
        for (int i = arrivals(this->random); i > 0; --i)
            this->add_request(period.model, hot_objective, now);
    }
    std::poisson_distribution<int> busy(this->scenario.busy_rate * seconds);
    for (int i = busy(this->random); i > 0; --i)
        this->add_request(
            10 + this->random() % (first_rare - 10), hot_objective, now);
    std::poisson_distribution<int> arrivals(this->rare_rate(now) * seconds);
    for (int i = arrivals(this->random); i > 0; --i)
        this->add_request(
            first_rare + this->random() % (model_count - first_rare),
            rare_objective,
            now);
}

void fleet_replay::add_request(
    std::size_t model, duration objective, instant now)
{
    const std::size_t router = this->random() % this->routers.size();
    this->waiting[model].push_back({model, router, now, now + objective});
    ++this->count_of(model).requested;
    if (this->is_hot(model))
        this->hot_arrivals.emplace_back(now, model);
}

void fleet_replay::end_runs(instant now)
{
    for (auto& [id, engine] : this->runs)
    {
        std::erase_if(
            engine.running,
            [&](const auto& run)
            {
                if (run.first > now)
                    return false;
                --this->routers[run.second.router]
                      .running[{this->name(run.second.model), id}];
                return true;
            });
        this->start(engine, id, now);
    }
}

void fleet_replay::start(engine_run& engine, const std::string&, instant now)
{
    while (engine.running.size() < slots && !engine.queue.empty())
    {
        const request next = engine.queue.front();
        engine.queue.pop_front();
        this->count_start(next, now);
        engine.running.emplace_back(now + run_time, next);
    }
}

void fleet_replay::count_start(const request& one, instant now)
{
    this->count_of(one.model).in_time += now <= one.objective ? 1 : 0;
}

void fleet_replay::give_up(instant now)
{
    for (std::deque<request>& queue : this->waiting)
    {
        while (!queue.empty() && queue.front().objective < now)
            queue.pop_front();
    }
}

void fleet_replay::assign(instant now)
{
    std::map<std::size_t, std::vector<std::string>> holders;
    for (const auto& [id, engine] : this->tracker.all())
    {
        if (engine.entry.leaving || !engine.reachable)
            continue;
        for (const loaded_model& loaded : engine.loaded_models)
            holders[std::stoul(loaded.name.substr(1))].push_back(id);
    }
    for (auto& [model, ids] : holders)
    {
        std::deque<request>& queue = this->waiting[model];
        while (!queue.empty())
        {
            const auto load = [this](const std::string& id)
            {
                const engine_run& engine = this->runs.at(id);
                return engine.running.size() + engine.queue.size();
            };
            const auto best = std::ranges::min_element(ids, {}, load);
            if (load(*best) >= slots + this->scenario.queue)
                break;
            const request next = queue.front();
            queue.pop_front();
            engine_run& engine = this->runs.at(*best);
            engine.queue.push_back(next);
            router_state& router = this->routers[next.router];
            ++router.running[{this->name(model), *best}];
            ++router.started[{this->name(model), *best}];
            this->start(engine, *best, now);
        }
    }
}

void fleet_replay::report(instant now)
{
    const auto number = static_cast<std::size_t>((now - at(0s)) / step);
    const std::size_t interval = report_steps(this->routers.size());
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        this->report_needs(i, now);
        const bool all = (number + i) % interval == 0;
        if (all || number % 2 == 0)
            this->report_uses(i, now, all);
    }
}

void fleet_replay::report_needs(std::size_t router, instant now)
{
    router_state& state = this->routers[router];
    std::map<std::size_t, std::uint32_t> needs;
    std::map<std::size_t, instant> objectives;
    for (std::size_t model = 0; model < model_count; ++model)
    {
        if (this->waiting[model].empty())
            continue;
        for (const request& one : this->waiting[model])
        {
            if (one.router != router)
                continue;
            ++needs[model];
            objectives.try_emplace(model, one.objective);
        }
        // A router reports requests for a loaded model only when there are
        // more of them than slots.
        const auto own = needs.find(model);
        if (own != needs.end() && own->second <= this->copies_of(model) * slots)
            needs.erase(own);
    }
    const bool repeat = now - state.needs_repeated >= 250ms;
    if (needs == state.needs && (!repeat || needs.empty()))
        return;
    state.needs_repeated = now;
    router_report report;
    report.router = "r" + std::to_string(router);
    report.sequence = ++this->sequence;
    for (const auto& [model, count] : needs)
        report.needs.push_back(
            {servable_key(service, this->name(model)),
             count,
             duration(objectives.at(model) - now).count(),
             duration(objectives.at(model) + 3s - now).count()});
    for (const auto& [model, count] : state.needs)
    {
        if (!needs.contains(model))
            report.needs.push_back(
                {servable_key(service, this->name(model)), 0, 0, 0});
    }
    state.needs = std::move(needs);
    if (now >= this->no_owner_until)
        this->demands.apply_router_report(report, now);
}

void fleet_replay::report_uses(std::size_t router, instant now, bool all)
{
    router_state& state = this->routers[router];
    router_report report;
    report.router = "r" + std::to_string(router);
    report.sequence = ++this->sequence;
    std::erase_if(
        state.running,
        [&](const auto& use)
        {
            const auto& [key, count] = use;
            const bool ended = count == 0;
            if (ended || all)
                report.uses.push_back(
                    {servable_key(service, key.first),
                     key.second,
                     count,
                     std::exchange(state.started[key], 0)});
            return ended;
        });
    if (!report.uses.empty() && now >= this->no_owner_until)
        this->demands.apply_router_report(report, now);
}

void fleet_replay::fail(instant now)
{
    const bool lose = this->scenario.engines_lost != duration::zero() &&
                      now >= at(this->scenario.engines_lost);
    if (lose && !std::exchange(this->lost, true))
        this->lose_engines();
    const bool kill = this->scenario.owner_killed != duration::zero() &&
                      now >= at(this->scenario.owner_killed);
    if (kill && !std::exchange(this->killed, true))
        this->replace_owner(now);
}

void fleet_replay::lose_engines()
{
    for (std::size_t i = 0; i < engine_count; i += 3)
    {
        const std::string id = engine_name(i);
        this->tracker.remove(id);
        for (const auto& [end, one] : this->runs.at(id).running)
            --this->routers[one.router].running[{this->name(one.model), id}];
        for (const request& one : this->runs.at(id).queue)
            --this->routers[one.router].running[{this->name(one.model), id}];
        this->runs.erase(id);
        std::erase_if(
            this->store_jobs,
            [&id](const store_job& job)
            {
                return job.engine == id;
            });
    }
}

void fleet_replay::replace_owner(instant now)
{
    // Another router becomes owner once the lease has ended.
    constexpr duration lease = 3s;
    this->no_owner_until = now + lease;
    this->tracker.take_over(lease, false);
    this->demands = demand_tracker(demand_tracker::options());
    swap_planner::options options;
    options.copies_by_room = this->scenario.copies_by_room;
    this->planner = std::make_unique<swap_planner>(options);
    std::vector<std::string> ids;
    for (const auto& [id, engine] : this->tracker.all())
        ids.push_back(id);
    for (const std::string& id : ids)
    {
        const engine_state& engine = *this->tracker.find(id);
        holdings_report report;
        for (const loaded_model& loaded : engine.loaded_models)
            report.holdings.resident.push_back({loaded.name, {}});
        report.holdings.on_disk = engine.on_disk;
        report.holdings.in_memory.assign(
            engine.in_memory.begin(), engine.in_memory.end());
        report.orders_taken = engine.orders_taken;
        this->tracker.apply_engine_report(id, report, now);
    }
    this->answers.clear();
}

void fleet_replay::order(instant now)
{
    std::erase_if(
        this->answers,
        [&](const delayed_answer& answer)
        {
            if (answer.due > now)
                return false;
            this->tracker.order_answered(
                answer.engine, command_outcome::accepted, now);
            return true;
        });
    if (now < this->no_owner_until)
        return;
    for (const swap_order& order :
         this->planner->plan(this->tracker, this->demands, now))
        this->accept(order, now);
}

void fleet_replay::accept(const swap_order& order, instant now)
{
    pending_order sent;
    sent.action = order.action;
    sent.model = order.model;
    sent.adapter = order.adapter;
    sent.source = order.source;
    const auto* use = this->demands.find_use(
        order.engine, servable_key(service, order.model));
    sent.running = use != nullptr && use->running != 0;
    this->tracker.order_sent(order.engine, sent, now);
    this->answers.push_back({order.engine, now + this->scenario.order_delay});
    if (order.action != engine_action::load)
        return;
    if (order.source != weight_source::store)
    {
        ++this->disk_loads;
        return;
    }
    ++this->store_loads;
    this->store_jobs.push_back({order.engine, order.model, store_load});
}

void fleet_replay::progress_store_loads(instant now)
{
    if (this->store_jobs.empty())
        return;
    const duration progress =
        step / static_cast<duration::rep>(this->store_jobs.size());
    std::vector<store_job> done;
    std::erase_if(
        this->store_jobs,
        [&](store_job& job)
        {
            job.left -= progress;
            if (job.left > duration::zero())
                return false;
            done.push_back(job);
            return true;
        });
    for (const store_job& job : done)
        this->finish_store_load(job, now);
}

void fleet_replay::finish_store_load(const store_job& job, instant now)
{
    const engine_state* engine = this->tracker.find(job.engine);
    if (engine == nullptr)
        return;
    holdings_report report;
    for (const loaded_model& loaded : engine->loaded_models)
        report.holdings.resident.push_back({loaded.name, {}});
    report.holdings.resident.push_back({job.model, {}});
    report.holdings.on_disk = engine->on_disk;
    report.holdings.on_disk.push_back(job.model);
    report.holdings.in_memory.assign(
        engine->in_memory.begin(), engine->in_memory.end());
    report.orders_taken = engine->orders_taken;
    if (engine->order && engine->order->is_store_load())
        this->planner->store_load_ended(this->tracker, *engine, now);
    this->tracker.apply_engine_report(job.engine, report, now);
}

std::size_t fleet_replay::copies_of(std::size_t model) const
{
    const std::string wanted = this->name(model);
    return static_cast<std::size_t>(std::ranges::count_if(
        this->tracker.all(),
        [&wanted](const auto& entry)
        {
            return entry.second.find(wanted) != nullptr;
        }));
}

void fleet_replay::observe(instant now)
{
    for (const hot_period& period : this->scenario.hot)
    {
        const std::size_t copies = this->copies_of(period.model);
        std::size_t& peak = this->peak_copies[period.model];
        peak = std::max(peak, copies);
        if (now >= at(period.from))
            this->reached.try_emplace({period.model, copies}, now);
    }
}

replay_count fleet_replay::full_knowledge() const
{
    replay_count total;
    const double seconds = std::chrono::duration<double>(run_time).count();
    for (std::size_t i = 0; i < this->scenario.hot.size(); ++i)
    {
        const hot_period& period = this->scenario.hot[i];
        const auto needed = static_cast<std::size_t>(
            std::ceil(period.rate * seconds / (0.8 * slots)));
        const std::size_t local = std::min(needed, this->scenario.hot_disks);
        std::vector<instant> free_at; ///< one entry per slot
        const auto add = [&](std::size_t copies, instant ready)
        {
            free_at.insert(free_at.end(), copies * slots, ready);
        };
        const std::size_t first =
            std::min(i == 0 ? this->scenario.hot_copies : 1, local);
        add(first, at(period.from));
        add(local - first, at(period.from + disk_load));
        instant next = at(period.from + store_load);
        for (std::size_t copies = local;
             copies < needed && next < at(period.until);
             ++copies, next += store_load)
            add(1, next);
        std::ranges::make_heap(free_at, std::ranges::greater());
        for (const auto& [arrived, model] : this->hot_arrivals)
        {
            const bool own = model == period.model &&
                             arrived >= at(period.from) &&
                             arrived < at(period.until);
            if (!own)
                continue;
            ++total.requested;
            const instant start = std::max(arrived, free_at.front());
            if (start > arrived + hot_objective)
                continue;
            ++total.in_time;
            std::ranges::pop_heap(free_at, std::ranges::greater());
            free_at.back() = start + run_time;
            std::ranges::push_heap(free_at, std::ranges::greater());
        }
    }
    return total;
}

} // namespace roseworks::testing
