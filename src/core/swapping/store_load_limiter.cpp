#include "core/swapping/store_load_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace roseworks
{

store_load_limiter::store_load_limiter(options chosen)
    : settings(chosen)
    , concurrency(chosen.initial_concurrency)
{
}

bool store_load_limiter::may_start(
    double per_second, std::size_t running, instant now)
{
    while (!this->start_times.empty() &&
           now - this->start_times.front() > this->settings.window)
        this->start_times.pop_front();
    const double seconds =
        std::chrono::duration<double>(this->settings.window).count();
    const double max_starts = per_second * seconds *
                              this->settings.rate_factor *
                              this->settings.usable_share;
    return running < this->concurrency_limit() &&
           static_cast<double>(this->start_times.size()) + 1 <= max_starts;
}

void store_load_limiter::load_started(instant now)
{
    this->start_times.push_back(now);
}

void store_load_limiter::load_ended(
    duration measured, duration configured, std::size_t concurrent)
{
    const double slowdown =
        static_cast<double>(measured.count()) /
        static_cast<double>(std::max<duration::rep>(configured.count(), 1));
    if (slowdown >= this->settings.slowdown_threshold)
        this->concurrency = std::max<std::size_t>(
            std::lround(static_cast<double>(concurrent) / slowdown), 1);
    else if (concurrent >= this->concurrency)
        this->concurrency =
            std::min(this->concurrency + 1, this->settings.max_concurrency);
}

} // namespace roseworks
