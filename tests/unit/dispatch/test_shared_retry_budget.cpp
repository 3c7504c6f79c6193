#include "core/request/shared_retry_budget.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

shared_retry_budget make_budget(double ratio, double extra)
{
    return shared_retry_budget({ratio, extra, 10s, 1.0});
}

instant at(duration since_start)
{
    return instant(100s + since_start);
}

std::size_t withdrawn(shared_retry_budget& budget, std::size_t routers)
{
    std::size_t count = 0;
    while (budget.withdraw(routers, at(0s)))
        ++count;
    return count;
}

} // namespace

/// Guards against a retry storm when a service loses its servers and every
/// request on them fails at the same moment on all routers.
Test(shared_retry_budget, routers_together_stay_within_the_allowance)
{
    for (const std::size_t routers : {1U, 3U, 9U, 50U})
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < routers; ++i)
        {
            shared_retry_budget one = make_budget(0.2, 50);
            for (int request = 0; request < 10; ++request)
                one.record_request(at(0s));
            sum += withdrawn(one, routers);
        }
        cr_assert_leq(sum, 2 * routers + 50);
        cr_assert_geq(sum + routers, 2 * routers + 50); // each rounds down
    }
}

Test(shared_retry_budget, counts_expire_with_the_window)
{
    shared_retry_budget budget = make_budget(0.5, 0);
    for (int request = 0; request < 10; ++request)
        budget.record_request(at(0s));
    cr_assert_eq(withdrawn(budget, 1), 5);
    cr_assert_eq(budget.available(1, at(8900ms)), 0);
    for (int request = 0; request < 4; ++request)
        budget.record_request(at(9500ms));
    // The counts from the start have left the window.
    cr_assert_eq(budget.available(1, at(10500ms)), 2);
    cr_assert_eq(budget.available(1, at(60s)), 0);
}

Test(shared_retry_budget, only_the_usable_fraction_is_spent)
{
    shared_retry_budget budget({0.2, 100, 10s, 0.7});
    cr_assert_eq(withdrawn(budget, 1), 70);
}

/// While no router is known, the count is 0 but this router exists.
Test(shared_retry_budget, no_routers_count_as_one)
{
    shared_retry_budget budget = make_budget(0.2, 10);
    cr_assert_eq(withdrawn(budget, 0), 10);
}
