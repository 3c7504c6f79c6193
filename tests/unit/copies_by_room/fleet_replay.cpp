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

} // namespace roseworks::testing
