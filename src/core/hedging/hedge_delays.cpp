#include "core/hedging/hedge_delays.hpp"

#include <algorithm>

namespace roseworks
{

namespace
{

constexpr double late_fraction = 0.95;

/// Much shorter than a slice of the window.
constexpr duration cache_time = std::chrono::milliseconds(100);

} // namespace

void hedge_delays::add(const request_class& of, duration latency, instant now)
{
    auto found = this->classes.find(of);
    if (found == this->classes.end())
    {
        if (this->classes.size() >= max_classes)
            this->evict_oldest();
        found = this->classes.emplace(of, std::make_unique<entry>()).first;
    }
    found->second->latencies.add(latency, now);
    found->second->last_sample = now;
}

std::optional<duration>
hedge_delays::delay(const request_class& of, instant now) const
{
    const auto found = this->classes.find(of);
    if (found == this->classes.end())
        return std::nullopt;
    const entry& one = *found->second;
    if (now >= one.cached_until)
    {
        one.cached_delay = one.latencies.percentile(late_fraction, now);
        if (one.cached_delay)
            one.cached_until = now + cache_time;
    }
    return one.cached_delay;
}

void hedge_delays::evict_oldest()
{
    const auto oldest = std::ranges::min_element(
        this->classes,
        {},
        [](const auto& one)
        {
            return one.second->last_sample;
        });
    this->classes.erase(oldest);
}

} // namespace roseworks
