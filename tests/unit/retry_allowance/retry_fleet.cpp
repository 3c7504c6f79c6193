#include "retry_fleet.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace roseworks::testing
{

namespace
{

/// @return The number of sorted times from `start` on, before `start + length`.
double
count_from(std::span<const instant> times, instant start, duration length)
{
    const auto first = std::ranges::lower_bound(times, start);
    const auto last = std::ranges::lower_bound(times, start + length);
    return static_cast<double>(last - first);
}

} // namespace

void retry_fleet::receive(
    duration length, const load& offered, std::vector<double> weights)
{
    const auto on_request = [this, offered](std::size_t router)
    {
        this->request_times.push_back(this->now());
        this->schedule_on(
            router,
            this->now(),
            [this, router]
            {
                this->client_of(router).count_request(
                    retry_account("s"), this->now());
            });
        if (!this->happens(offered.retried_share))
            return;
        const duration delay =
            this->happens(0.5) ? offered.longest_delay : duration::zero();
        this->schedule_on(
            router,
            this->now() + delay,
            [this, router]
            {
                this->draw(router, 1, duration::zero());
            });
    };
    this->repeat_randomly(
        length, offered.requests_per_second, std::move(weights), on_request);
}

std::vector<instant> retry_fleet::retry_times() const
{
    std::vector<instant> times;
    for (const use& one : this->recorded_uses())
        times.push_back(one.when);
    std::ranges::sort(times);
    return times;
}

double
retry_fleet::allowed_from(instant start, const retry_allowance& allowance) const
{
    double requests = 0;
    for (const duration earlier :
         {duration::zero(), allowance.window / 2, allowance.window})
        requests = std::max(
            requests,
            count_from(this->request_times, start - earlier, allowance.window));
    return allowance.ratio * requests + allowance.extra;
}

double retry_fleet::worst_excess(const retry_allowance& allowance) const
{
    const std::vector<instant> retries = this->retry_times();
    double worst = std::numeric_limits<double>::lowest();
    for (const instant start : retries)
        worst = std::max(
            worst,
            count_from(retries, start, allowance.window) -
                this->allowed_from(start, allowance));
    return worst;
}

double retry_fleet::least_used(
    instant from, instant until, const retry_allowance& allowance) const
{
    const std::vector<instant> retries = this->retry_times();
    double least = 1;
    for (instant start = from; start + allowance.window <= until;
         start += allowance.window / 10)
        least = std::min(
            least,
            count_from(retries, start, allowance.window) /
                this->allowed_from(start, allowance));
    return least;
}

} // namespace roseworks::testing
