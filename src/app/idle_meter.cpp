#include "app/idle_meter.hpp"

namespace roseworks::app
{

void idle_meter::reported(
    const engine_report& report,
    std::uint32_t accelerators,
    bool held,
    instant now)
{
    if (!held || !report.reachable)
    {
        this->engines.erase(report.engine);
        return;
    }
    const auto [found, first] = this->engines.try_emplace(report.engine);
    last_report& last = found->second;
    const bool idle = !report.residents.empty() && report.running == 0;
    // Work between two idle reports is not seen.
    if (!first && last.idle && idle)
        this->total += (now - last.at) * accelerators;
    last = {now, idle, report.residents.size()};
}

duration idle_meter::idle() const
{
    return this->total;
}

std::uint64_t idle_meter::residents() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, last] : this->engines)
        sum += last.residents;
    return sum;
}

} // namespace roseworks::app
