#include "core/request/shared_retry_budget.hpp"

#include <algorithm>

namespace roseworks
{

shared_retry_budget::shared_retry_budget(options chosen)
    : settings(chosen)
{
}

void shared_retry_budget::record_request(instant now)
{
    this->advance(now);
    ++this->slices[static_cast<std::size_t>(this->newest) % slice_count]
          .requests;
}

bool shared_retry_budget::withdraw(std::size_t routers, instant now)
{
    if (this->available(routers, now) == 0)
        return false;
    ++this->slices[static_cast<std::size_t>(this->newest) % slice_count]
          .retries;
    return true;
}

std::size_t shared_retry_budget::available(std::size_t routers, instant now)
{
    this->advance(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const slice& counted : this->slices)
    {
        requests += counted.requests;
        retries += counted.retries;
    }
    const double fixed_share =
        this->settings.extra /
        static_cast<double>(std::max<std::size_t>(routers, 1));
    const double allowed =
        this->settings.usable_fraction *
        (this->settings.ratio * static_cast<double>(requests) + fixed_share);
    const auto allowed_retries = static_cast<std::uint64_t>(allowed);
    return allowed_retries > retries
               ? static_cast<std::size_t>(allowed_retries - retries)
               : 0;
}

void shared_retry_budget::advance(instant now)
{
    const duration length = this->settings.window / slices_per_window;
    const std::int64_t number = now.time_since_epoch() / length;
    if (!this->started)
    {
        this->started = true;
        this->newest = number;
        return;
    }
    const std::int64_t steps = std::min<std::int64_t>(
        number - this->newest, static_cast<std::int64_t>(slice_count));
    for (std::int64_t i = 0; i < steps; ++i)
        this->slices[static_cast<std::size_t>(number - i) % slice_count] = {};
    this->newest = std::max(this->newest, number);
}

} // namespace roseworks
