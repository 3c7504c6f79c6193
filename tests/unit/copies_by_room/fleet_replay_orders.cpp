// Orders, failures and the planner with full knowledge in the replay.

#include "core/serving/servable_key.hpp"
#include "fleet_replay.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr const char* service = "llm";

std::string engine_name(std::size_t number)
{
    return "e" + std::to_string(number);
}

} // namespace

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
