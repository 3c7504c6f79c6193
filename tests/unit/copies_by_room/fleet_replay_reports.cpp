// The routers' reports in the replay.

#include "core/serving/servable_key.hpp"
#include "fleet_replay.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::testing
{

namespace
{

constexpr const char* service = "llm";

/// @return Interval between a router's reports of its running requests, in
///         steps.
std::size_t report_steps(std::size_t routers)
{
    return static_cast<std::size_t>(
        usage_report_interval(routers) / fleet_replay::step);
}

} // namespace

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

} // namespace roseworks::testing
