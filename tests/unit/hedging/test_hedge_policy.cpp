#include "core/hedging/hedge_policy.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start(1000s);
constexpr double share = 0.02;

/// A policy that knows the usual latency of the requests: 10 ms.
struct policy_fixture
{
    policy_fixture()
    {
        for (int i = 0; i < 100; ++i)
            this->policy.output_began(this->request.kind, 10ms, start);
    }

    static hedge_request make_request()
    {
        hedge_request made;
        made.kind = {"notes", 0};
        made.service = "engines";
        made.repeatable = true;
        made.attempts = 1;
        made.max_attempts = 2;
        return made;
    }

    /// Requires both decisions to name the same limit.
    void assert_refused(hedge_limit limit) const
    {
        cr_assert_eq(
            this->policy.plan_for(this->request, start).refused_by, limit);
        cr_assert_eq(this->policy.check(this->request, true, start), limit);
    }

    hedge_request request = make_request();
    hedge_policy policy{share};
};

} // namespace

Test(hedge_policy, a_hedge_is_due_after_the_95th_percentile)
{
    policy_fixture test;
    const auto plan = test.policy.plan_for(test.request, start);
    cr_assert_eq(plan.refused_by, hedge_limit::none);
    cr_assert_geq(plan.delay, 10ms);
    cr_assert_lt(plan.delay, 11ms);
    cr_assert_eq(
        test.policy.check(test.request, true, start), hedge_limit::none);
}

/// A second run of a request that isn't repeatable is the worst fault.
Test(hedge_policy, requests_that_run_at_most_once_are_never_hedged)
{
    policy_fixture test;
    test.request.repeatable = false;
    test.assert_refused(hedge_limit::not_repeatable);
}

/// Two answers would be joined.
Test(hedge_policy, no_hedge_after_the_first_output)
{
    policy_fixture test;
    test.request.output_begun = true;
    test.assert_refused(hedge_limit::output_begun);
}

Test(hedge_policy, the_attempts_of_the_route_are_not_exceeded)
{
    policy_fixture test;
    test.request.attempts = 2;
    test.assert_refused(hedge_limit::attempts);
    test.request.attempts = 1;
    test.request.max_attempts = 1;
    test.assert_refused(hedge_limit::attempts);
}

/// A request that crashes servers would crash two at once.
Test(hedge_policy, suspected_requests_are_not_hedged)
{
    policy_fixture test;
    test.request.suspected = true;
    test.assert_refused(hedge_limit::suspected);
}

Test(hedge_policy, no_hedge_without_samples)
{
    policy_fixture test;
    test.request.kind.size_class = 4;
    cr_assert_eq(
        test.policy.plan_for(test.request, start).refused_by,
        hedge_limit::samples);
}

Test(hedge_policy, old_samples_do_not_count)
{
    policy_fixture test;
    cr_assert_eq(
        test.policy.plan_for(test.request, start + 31s).refused_by,
        hedge_limit::samples);
}

/// Hedges add to the load of a service that has no capacity left.
Test(hedge_policy, no_hedge_for_a_second_after_a_rejection)
{
    policy_fixture test;
    test.policy.rejected("engines", start);
    cr_assert_eq(
        test.policy.check(test.request, true, start + 1s),
        hedge_limit::rejections);
    cr_assert_eq(
        test.policy.check(test.request, true, start + 1001ms),
        hedge_limit::none);
}

Test(hedge_policy, a_rejection_of_another_service_does_not_matter)
{
    policy_fixture test;
    test.policy.rejected("app", start);
    cr_assert_eq(
        test.policy.check(test.request, true, start), hedge_limit::none);
}

Test(hedge_policy, no_hedge_to_a_server_without_a_free_slot)
{
    policy_fixture test;
    cr_assert_eq(
        test.policy.check(test.request, false, start), hedge_limit::no_server);
}

/// With the setting off nothing is measured, and no hedge is due.
Test(hedge_policy, no_hedge_with_a_share_of_zero)
{
    hedge_policy policy(0);
    const hedge_request request = policy_fixture::make_request();
    for (int i = 0; i < 100; ++i)
        policy.output_began(request.kind, 10ms, start);
    cr_assert_not(policy.is_enabled());
    cr_assert_neq(
        policy.plan_for(request, start).refused_by, hedge_limit::none);
}
