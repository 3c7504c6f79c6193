#include "core/swapping/demand_tracker.hpp"

#include "core/serving/servable_key.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace roseworks
{

namespace
{

constexpr char key_separator = '\n';

instant time_after(instant now, std::int64_t micros)
{
    constexpr std::int64_t max_offset = 3'600'000'000;
    return now + duration(std::clamp(micros, -max_offset, max_offset));
}

/// Servables that can still meet an objective come first; the others have
/// `instant::max()`.
bool is_more_urgent(const waiting_servable& left, const waiting_servable& right)
{
    return std::tie(left.objective, left.deadline, left.servable) <
           std::tie(right.objective, right.deadline, right.servable);
}

} // namespace

demand_tracker::demand_tracker(options chosen)
    : settings(chosen)
    , demand_estimate(chosen.demand)
    , start_estimate(chosen.starts)
{
}

std::string
demand_tracker::use_key(std::string_view engine, std::string_view servable)
{
    std::string key(engine);
    key += key_separator;
    key += servable;
    return key;
}

bool demand_tracker::apply_router_report(
    const router_report& report, instant now)
{
    router_row& row = this->rows[report.router];
    // A run's number is its start by wall clock, which may be set back. After
    // a silence, a report with a lower number comes from the live run.
    const bool was_silent =
        now - row.reported_at >= this->settings.router_lifetime;
    const bool outdated =
        (report.run < row.run && !was_silent) ||
        (report.run == row.run && report.sequence <= row.sequence);
    if (outdated)
        return false;
    row.run = report.run;
    row.sequence = report.sequence;
    row.reported_at = now;
    for (const servable_need& need : report.needs)
    {
        if (need.waiting == 0)
        {
            row.needs.erase(need.servable);
            continue;
        }
        const instant objective =
            need.objective_in_us == servable_need::no_objective
                ? instant::max()
                : time_after(now, need.objective_in_us);
        need_row& before = row.needs[need.servable];
        // Requests that are refused never start on an engine, so demand has to
        // count waiting requests, too.
        if (need.waiting > before.waiting)
            this->demand_estimate.add(
                split_software(need.servable).servable,
                need.waiting - before.waiting,
                now);
        before = {
            need.waiting, objective, time_after(now, need.deadline_in_us), now};
    }
    this->apply_uses(row, report, now);
    return true;
}

void demand_tracker::apply_uses(
    router_row& row, const router_report& report, instant now)
{
    for (const servable_usage& reported : report.uses)
    {
        const std::string key = use_key(reported.engine, reported.servable);
        use_row& before = row.uses[key];
        this->update_running(key, before.running, reported.running);
        before = {reported.running, now, now};
        this->uses[key].last_used = now;
        this->demand_estimate.add(reported.servable, reported.started, now);
        this->start_estimate.add(reported.servable, reported.started, now);
    }
}

void demand_tracker::update_running(
    const std::string& key, std::uint32_t before, std::uint32_t after)
{
    this->uses[key].running += after - before;
}

std::vector<waiting_servable>
demand_tracker::waiting_servables(instant now) const
{
    std::unordered_map<std::string_view, waiting_servable> found;
    for (const auto& [router, row] : this->rows)
    {
        for (const auto& [servable, need] : row.needs)
        {
            const bool expired =
                now - need.reported_at > this->settings.need_lifetime;
            if (expired || need.deadline <= now)
                continue;
            waiting_servable& sum = found[servable];
            if (sum.waiting == 0)
            {
                const wanted_servable wanted = split_software(servable);
                sum.servable = wanted.servable;
                sum.software = wanted.software;
                sum.deadline = need.deadline;
            }
            sum.waiting += need.waiting;
            if (need.objective > now)
                sum.objective = std::min(sum.objective, need.objective);
            sum.deadline = std::min(sum.deadline, need.deadline);
            sum.routers.push_back(router);
        }
    }
    std::vector<waiting_servable> all;
    all.reserve(found.size());
    for (auto& [servable, sum] : found)
        all.push_back(std::move(sum));
    std::ranges::sort(all, is_more_urgent);
    return all;
}

const demand_tracker::use* demand_tracker::find_use(
    std::string_view engine, std::string_view servable) const
{
    const auto found = this->uses.find(use_key(engine, servable));
    return found == this->uses.end() ? nullptr : &found->second;
}

std::vector<std::string>
demand_tracker::routers_waiting(std::string_view servable, instant now) const
{
    std::vector<std::string> found;
    const auto waits = [&](const auto& need)
    {
        return split_software(need.first).servable == servable &&
               now - need.second.reported_at <= this->settings.need_lifetime;
    };
    for (const auto& [router, row] : this->rows)
    {
        if (std::ranges::any_of(row.needs, waits))
            found.push_back(router);
    }
    return found;
}

std::vector<std::string> demand_tracker::routers_using(
    std::string_view engine, std::string_view servable) const
{
    std::vector<std::string> found;
    const std::string key = use_key(engine, servable);
    for (const auto& [router, row] : this->rows)
    {
        if (row.uses.contains(key))
            found.push_back(router);
    }
    return found;
}

std::size_t demand_tracker::active_routers(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->rows,
        [&](const auto& entry)
        {
            return now - entry.second.reported_at <
                   this->settings.router_lifetime;
        }));
}

void demand_tracker::tick(instant now)
{
    this->demand_estimate.tick(now);
    this->start_estimate.tick(now);
    for (auto& [router, row] : this->rows)
    {
        std::erase_if(
            row.needs,
            [&](const auto& entry)
            {
                return now - entry.second.reported_at >
                       this->settings.need_lifetime;
            });
        for (auto& [key, reported] : row.uses)
        {
            if (now - reported.reported_at > this->settings.use_lifetime)
                this->update_running(
                    key, std::exchange(reported.running, 0), 0);
        }
        std::erase_if(
            row.uses,
            [&](const auto& entry)
            {
                return entry.second.running == 0 &&
                       now - entry.second.last_used > this->settings.recent_use;
            });
    }
    std::erase_if(
        this->uses,
        [&](const auto& entry)
        {
            constexpr duration retention = std::chrono::seconds(60);
            return entry.second.running == 0 &&
                   now - entry.second.last_used > retention;
        });
}

} // namespace roseworks
