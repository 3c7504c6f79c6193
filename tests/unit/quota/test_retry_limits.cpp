#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"
#include "core/quota/retry_limits.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr retry_allowance allowance{0.2, 50, 10s};

instant at(duration since_start)
{
    return instant(100s + since_start);
}

deployment make_deployment()
{
    deployment configuration;
    configuration.services = {{"app", 1, {}}};
    return configuration;
}

quota_query make_query(const std::string& router, std::uint32_t requests)
{
    quota_query query;
    query.router = router;
    query.last_reply_age_us = 0;
    query.counting_delay_us = 0;
    query.request_counts = {{retry_account("app"), requests}};
    return query;
}

/// The accountant of two routers, whose requests are reported for a while.
struct accountant_fixture
{
    accountant_fixture()
    {
        this->accountant.set_limits(
            retry_limits_of(make_deployment(), allowance), at(0s));
        this->accountant.set_router_count(2);
    }

    void report(duration from, duration to, std::uint32_t requests)
    {
        for (duration passed = from; passed < to; passed += 100ms)
        {
            this->accountant.handle_query(
                make_query("r1", requests), at(passed));
            this->accountant.handle_query(
                make_query("r2", requests), at(passed));
        }
    }

    const quota_accountant::account& app() const
    {
        return this->accountant.accounts().at(retry_account("app"));
    }

    quota_accountant accountant{"a", quota_bounds()};
};

} // namespace

Test(retry_limits, requests_of_all_routers_raise_the_limit)
{
    accountant_fixture test;
    test.report(0s, 20s, 0);
    const double without = test.app().bucket.level();
    test.report(20s, 40s, 100);
    cr_assert_float_eq(test.app().requests, 200, 1e-9);
    cr_assert_gt(test.app().bucket.level(), without);
    cr_assert_leq(test.app().bucket.level(), 0.2 * 200 + 50);
}

Test(retry_limits, requests_of_a_router_that_is_gone_do_not_count)
{
    accountant_fixture test;
    test.report(0s, 20s, 100);
    for (duration passed = 20s; passed < 23s; passed += 100ms)
        test.accountant.handle_query(make_query("r1", 100), at(passed));
    cr_assert_float_eq(test.app().requests, 100, 1e-9);
}

Test(retry_limits, a_repeated_report_counts_once)
{
    accountant_fixture test;
    for (int i = 0; i < 3; ++i)
        test.report(0s, 10s, 100);
    cr_assert_float_eq(test.app().requests, 200, 1e-9);
}

Test(retry_limits, a_service_that_is_not_configured_gets_no_retries)
{
    accountant_fixture test;
    test.report(0s, 20s, 100);
    quota_query query = make_query("r1", 100);
    query.draws = {
        {1, retry_account("app"), 1, 0}, {2, retry_account("old"), 1, 0}};
    const auto reply = test.accountant.handle_query(query, at(20s));
    cr_assert(reply.results.at(0).is_allowed);
    cr_assert_not(reply.results.at(1).is_allowed);

    quota_client client({});
    client.set_limits(retry_limits_of(make_deployment(), allowance));
    client.draw(retry_account("old"), 1, 0s, at(0s));
    cr_assert_not(client.take_decisions().at(0).is_allowed);
}

Test(retry_limits, a_router_that_knows_no_other_uses_its_own_requests_only)
{
    quota_client client({});
    client.set_limits(retry_limits_of(make_deployment(), allowance));
    const auto retries_after = [&](duration start, int requests)
    {
        for (int i = 0; i < requests; ++i)
            client.count_request(retry_account("app"), at(start));
        for (duration passed = start; passed < start + 8s; passed += 100ms)
            client.tick(at(passed));
        std::size_t sent = 0;
        do
        {
            client.draw(retry_account("app"), 1, 0s, at(start + 8s));
        } while (client.take_decisions().at(0).is_allowed && ++sent < 1000);
        return sent;
    };
    cr_assert_eq(retries_after(0s, 0), 0);
    const std::size_t sent = retries_after(8s, 200);
    cr_assert_gt(sent, 0);
    cr_assert_leq(sent, 0.2 * 200);
}
