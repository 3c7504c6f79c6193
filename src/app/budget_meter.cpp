#include "app/budget_meter.hpp"

#include <chrono>

namespace roseworks::app
{

namespace
{

constexpr duration step = std::chrono::seconds(10);
constexpr duration window = std::chrono::seconds(60);
constexpr std::uint64_t whole = 1000;

std::uint64_t rate_share(
    std::uint64_t before,
    std::uint64_t after,
    duration length,
    std::uint64_t limit)
{
    const double seconds = std::chrono::duration<double>(length).count();
    if (seconds <= 0 || after < before)
    {
        return 0;
    }
    const double rate = static_cast<double>(after - before) / seconds;
    return static_cast<std::uint64_t>(
        rate * static_cast<double>(whole) / static_cast<double>(limit));
}

} // namespace

budget_meter::budget_meter()
    : budget_meter(limits{})
{
}

budget_meter::budget_meter(const limits& wanted)
    : budget(wanted)
{
}

bool budget_meter::due(instant now) const
{
    return this->samples.empty() || now >= this->samples.back().at + step;
}

void budget_meter::note(const reading& now_used, instant now)
{
    this->samples.push_back({now, now_used});
    while (this->samples.size() > 2 && now - this->samples[1].at >= window)
    {
        this->samples.pop_front();
    }
}

budget_meter::shares budget_meter::used() const
{
    if (this->samples.empty())
    {
        return {};
    }
    const sample& first = this->samples.front();
    const sample& last = this->samples.back();
    const duration length = last.at - first.at;
    return {
        rate_share(
            first.counts.cpu_us,
            last.counts.cpu_us,
            length,
            this->budget.cpu_us_a_second),
        rate_share(
            first.counts.bytes,
            last.counts.bytes,
            length,
            this->budget.bytes_a_second),
        last.counts.memory * whole / this->budget.memory_bytes};
}

} // namespace roseworks::app
