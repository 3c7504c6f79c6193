#include "core/request/shared_retry_budget.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

/// Retries that all routers together may send in 10 s without any request.
constexpr double extra_retries = 54;

constexpr std::size_t router_count = 7;

instant at(duration since_start)
{
    return instant(100s + since_start);
}

/// The retries of all routers, at the times at which they were sent.
class sent_retries
{
public:
    /// Adds all that the router may send now.
    void add(shared_retry_budget& router, std::size_t routers, instant now)
    {
        while (router.withdraw(routers, now))
            this->times.push_back(now);
    }

    /// @return The most retries within any 10 s.
    std::size_t worst_window() const
    {
        std::size_t worst = 0;
        for (const instant first : this->times)
        {
            const auto in_window = std::ranges::count_if(
                this->times,
                [first](instant one)
                {
                    return one >= first && one - first < 10s;
                });
            worst = std::max(worst, static_cast<std::size_t>(in_window));
        }
        return worst;
    }

private:
    std::vector<instant> times;
};

void assert_allowed(const sent_retries& sent)
{
    cr_assert_leq(
        sent.worst_window(),
        extra_retries,
        "%zu retries in 10 s, %.0f allowed",
        sent.worst_window(),
        extra_retries);
}

} // namespace

/// Each router spends all that it may, and is killed and started again.
Test(retry_allowance, routers_killed_in_series_stay_within_it)
{
    sent_retries sent;
    for (duration time = 0s; time < 10s; time += 2s)
    {
        for (std::size_t router = 0; router < router_count; ++router)
        {
            shared_retry_budget started({0.2, extra_retries, 10s});
            sent.add(started, router_count, at(time));
        }
    }
    assert_allowed(sent);
}

/// All routers start at once, and none knows another one yet.
Test(retry_allowance, routers_that_know_no_other_stay_within_it)
{
    sent_retries sent;
    for (std::size_t router = 0; router < router_count; ++router)
    {
        shared_retry_budget started({0.2, extra_retries, 10s});
        sent.add(started, 1, at(0s));
    }
    assert_allowed(sent);
}

/// Retries at the end of a tenth of the window, and when that tenth has passed.
Test(retry_allowance, any_ten_seconds_of_one_router_stay_within_it)
{
    shared_retry_budget budget({0.2, extra_retries, 10s});
    sent_retries sent;
    for (const duration time : {duration(990ms), duration(10'010ms)})
        sent.add(budget, 1, at(time));
    assert_allowed(sent);
}
