#include "hedge_budget_fleet.hpp"

#include <algorithm>
#include <limits>
#include <span>

namespace roseworks::testing
{

namespace
{

quota_fleet::options make_options(std::size_t routers)
{
    quota_fleet::options made;
    made.routers = routers;
    made.accountant_candidates = std::min<std::size_t>(routers, 6);
    made.retries = retry_allowance{0.2, 54, hedge_budget_fleet::window};
    made.hedge_share = hedge_budget_fleet::share;
    return made;
}

/// @return The number of sorted times from `start` on, before `end`.
double count_between(std::span<const instant> times, instant start, instant end)
{
    const auto first = std::ranges::lower_bound(times, start);
    const auto last = std::ranges::lower_bound(times, end);
    return static_cast<double>(last - first);
}

} // namespace

hedge_budget_fleet::hedge_budget_fleet(std::size_t routers)
    : quota_fleet(make_options(routers))
{
    this->advance(10s);
}

void hedge_budget_fleet::receive(duration length, double requests_per_second)
{
    const auto on_request = [this](std::size_t router)
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
        this->schedule_on(
            router,
            this->now(),
            [this, router]
            {
                this->draw(router, 1, duration::zero());
            });
    };
    this->repeat_randomly(length, requests_per_second, {}, on_request);
}

std::vector<instant> hedge_budget_fleet::hedge_times() const
{
    std::vector<instant> times;
    for (const use& one : this->recorded_uses())
        times.push_back(one.when);
    std::ranges::sort(times);
    return times;
}

double hedge_budget_fleet::worst_excess() const
{
    const std::vector<instant> hedges = this->hedge_times();
    double worst = std::numeric_limits<double>::lowest();
    for (const instant start : hedges)
    {
        const instant end = start + window;
        // Requests are still missing in a window that isn't over.
        if (end > this->request_times.back())
            break;
        worst = std::max(
            worst,
            count_between(hedges, start, end) -
                share * count_between(this->request_times, start, end));
    }
    return worst;
}

double hedge_budget_fleet::hedged_share(instant from) const
{
    const double requests =
        count_between(this->request_times, from, instant::max());
    return count_between(this->hedge_times(), from, instant::max()) / requests;
}

} // namespace roseworks::testing
