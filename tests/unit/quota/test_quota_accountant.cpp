#include "core/quota/quota_accountant.hpp"

#include <limits>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

instant at(duration since_start)
{
    return instant(100s + since_start);
}

global_limits make_limits(std::optional<usage_limit> limit)
{
    deployment configuration;
    organisation entry;
    entry.name = "o1";
    entry.limit = limit;
    configuration.organisations = {entry};
    return limits_of(configuration, quota_bounds());
}

quota_query make_query(const std::string& router, std::uint64_t id = 0)
{
    quota_query query;
    query.router = router;
    query.last_reply_age_us = 0;
    query.counting_delay_us = 0;
    if (id != 0)
        query.draws = {{id, "o1", 300, 0}};
    return query;
}

/// An accountant that two of four routers report to, with full buckets.
struct half_of_routers
{
    half_of_routers()
    {
        this->accountant.set_limits(
            make_limits(usage_limit{1000, 1000}), at(0s));
        this->accountant.set_router_count(4);
        for (duration passed = 0s; passed < 5s; passed += 100ms)
            this->report(passed);
    }

    void report(duration passed)
    {
        this->accountant.handle_query(make_query("r1"), at(passed));
        this->accountant.handle_query(make_query("r2"), at(passed));
        this->accountant.tick(at(passed));
    }

    quota_accountant accountant{"a", quota_bounds()};
};

} // namespace

Test(quota_accountant, grants_the_share_of_the_routers_that_report_to_it)
{
    half_of_routers test;
    cr_assert_float_eq(test.accountant.share(), 0.5, 1e-9);
    const auto& account = test.accountant.accounts().at("o1");
    cr_assert_float_eq(account.bucket.level(), 500, 1e-6);
}

Test(quota_accountant, routers_that_stop_reporting_take_their_share_along)
{
    half_of_routers test;
    test.accountant.tick(at(7s));
    cr_assert_eq(test.accountant.share(), 0);
    cr_assert_eq(test.accountant.accounts().at("o1").bucket.level(), 0);
}

Test(quota_accountant, a_router_that_receives_no_replies_does_not_count)
{
    half_of_routers test;
    quota_query no_replies = make_query("r3");
    no_replies.last_reply_age_us = quota_query::never;
    test.accountant.handle_query(no_replies, at(5s));
    test.report(5100ms);
    cr_assert_float_eq(test.accountant.share(), 0.5, 1e-9);
}

Test(
    quota_accountant, a_router_counted_by_another_accountant_does_not_count_yet)
{
    half_of_routers test;
    quota_query counted_elsewhere = make_query("r3");
    counted_elsewhere.counting_delay_us = 300'000;
    test.accountant.handle_query(counted_elsewhere, at(5s));
    test.report(5100ms);
    cr_assert_float_eq(test.accountant.share(), 0.5, 1e-9);
    test.report(5400ms);
    cr_assert_float_eq(test.accountant.share(), 0.75, 1e-9);
}

Test(quota_accountant, a_repeated_draw_gets_the_same_result_and_counts_once)
{
    half_of_routers test;
    const auto first =
        test.accountant.handle_query(make_query("r1", 7), at(4950ms));
    const auto again =
        test.accountant.handle_query(make_query("r1", 7), at(4960ms));
    cr_assert(first.results.at(0).is_allowed);
    cr_assert(again.results.at(0).is_allowed);
    cr_assert_float_eq(test.accountant.accounts().at("o1").used, 300, 1e-9);
}

Test(quota_accountant, a_refusal_tells_when_tokens_are_available)
{
    half_of_routers test;
    test.accountant.handle_query(make_query("r1", 7), at(4950ms));
    const auto refused =
        test.accountant.handle_query(make_query("r1", 8), at(4950ms));
    cr_assert_not(refused.results.at(0).is_allowed);
    // 200 of 500 tokens are left, and 500 are added per second.
    cr_assert_eq(refused.results.at(0).wait_us, 200'000);
}

Test(quota_accountant, tokens_of_a_request_that_did_not_run_are_returned)
{
    half_of_routers test;
    test.accountant.handle_query(make_query("r1", 7), at(4950ms));
    quota_query returning = make_query("r1");
    returning.returns = {{"o1", 300}};
    test.accountant.handle_query(returning, at(4950ms));
    const auto& account = test.accountant.accounts().at("o1");
    cr_assert_float_eq(account.bucket.level(), 500, 1e-6);
    cr_assert_float_eq(account.used, 0, 1e-9);
}

Test(
    quota_accountant,
    an_organisation_without_a_limit_is_allowed_and_not_counted)
{
    half_of_routers test;
    test.accountant.set_limits(make_limits({}), at(5s));
    const auto answer =
        test.accountant.handle_query(make_query("r1", 7), at(5s));
    cr_assert(answer.results.at(0).is_allowed);
    cr_assert(test.accountant.accounts().empty());
}

Test(quota_accountant, a_changed_limit_keeps_the_bucket_level)
{
    half_of_routers test;
    test.accountant.set_limits(make_limits(usage_limit{100, 100}), at(5s));
    test.report(5s);
    test.report(5100ms);
    const auto& account = test.accountant.accounts().at("o1");
    cr_assert_float_eq(account.bucket.level(), 50, 1e-6);
}

Test(quota_accountant, an_invalid_query_does_not_corrupt_the_bucket)
{
    half_of_routers test;
    const double invalid_amounts[] = {
        std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity(),
        -1e9};
    std::uint64_t id = 100;
    for (const double amount : invalid_amounts)
    {
        quota_query query = make_query("r1");
        query.draws = {{++id, "o1", amount, -5}};
        query.returns = {{"o1", amount}};
        const auto answer = test.accountant.handle_query(query, at(4950ms));
        cr_assert_not(answer.results.at(0).is_allowed);
    }
    quota_query out_of_range = make_query("r3");
    out_of_range.last_reply_age_us = std::numeric_limits<std::int64_t>::max();
    out_of_range.counting_delay_us = std::numeric_limits<std::int64_t>::max();
    test.accountant.handle_query(out_of_range, at(4950ms));
    cr_assert_float_eq(
        test.accountant.accounts().at("o1").bucket.level(), 500, 1e-6);
    cr_assert(test.accountant.handle_query(make_query("r1", 7), at(4950ms))
                  .results.at(0)
                  .is_allowed);
}

Test(quota_accountant, grants_nothing_while_the_router_count_is_unknown)
{
    quota_accountant accountant("a", quota_bounds());
    accountant.set_limits(make_limits(usage_limit{1000, 1000}), at(0s));
    for (duration passed = 0s; passed < 3s; passed += 100ms)
        accountant.handle_query(make_query("r1"), at(passed));
    const auto answer = accountant.handle_query(make_query("r1", 7), at(3s));
    cr_assert_not(answer.results.at(0).is_allowed);
}

/// Routers that don't order their requests state no class. Theirs must not
/// displace the urgent ones, nor wait behind all others.
Test(quota_accountant, a_draw_without_a_class_is_a_normal_one)
{
    quota_accountant accountant(
        "a", quota_bounds(), quota_accountant::order_options{true, 1});
    accountant.set_router_count(1);
    accountant.set_limits({{"o1", {.total = {1'000, 1'000}}}}, instant(100s));
    quota_query query;
    query.router = "r";
    query.last_reply_age_us = 0;
    query.counting_delay_us = 0;
    query.draws = {{1, "o1", 700, 0, 0}, {2, "o1", 300, 0, 0}};
    draw_order order;
    order.id = 2;
    order.urgency_class = 200; // above the highest one
    query.orders = {order};
    accountant.handle_query(query, instant(101s));
    const auto& account = accountant.accounts().at("o1");
    cr_assert(account.order.has_value());
    const auto& totals = account.order->totals;
    cr_assert_eq(totals[0].used + totals[0].refused, 0);
    cr_assert_eq(totals[1].used + totals[1].refused, 700);
    cr_assert_eq(totals[2].used + totals[2].refused, 300);
}

/// Only organisations' requests have an order, and only with the setting.
Test(quota_accountant, other_accounts_have_no_order)
{
    const global_limits limits = {
        {"o1", {.total = {1'000, 1'000}}},
        {server_account("s"), limit_of_server(10)}};
    quota_accountant ordering(
        "a", quota_bounds(), quota_accountant::order_options{true, 1});
    ordering.set_limits(limits, instant(100s));
    cr_assert(ordering.accounts().at("o1").order.has_value());
    cr_assert_not(
        ordering.accounts().at(server_account("s")).order.has_value());
    quota_accountant plain("a", quota_bounds());
    plain.set_limits(limits, instant(100s));
    cr_assert_not(plain.accounts().at("o1").order.has_value());
}

/// One request with an absurd amount must not take the minimum that the other
/// classes are guaranteed by their part of the demand.
Test(quota_accountant, an_absurd_amount_does_not_upset_the_order)
{
    quota_accountant accountant(
        "a", quota_bounds(), quota_accountant::order_options{true, 1});
    accountant.set_router_count(1);
    accountant.set_limits({{"o1", {.total = {1'000, 1'000}}}}, instant(100s));
    std::uint64_t id = 0;
    const auto draw = [&](std::uint8_t urgency, double amount, duration when)
    {
        quota_query query;
        query.router = "r";
        query.last_reply_age_us = 0;
        query.counting_delay_us = 0;
        query.draws = {{++id, "o1", amount, 0, 0}};
        draw_order order;
        order.id = id;
        order.objective_in_us = 0;
        order.urgency_class = urgency;
        query.orders = {order};
        accountant.handle_query(query, instant(100s + when));
    };
    for (duration when = 0s; when < 20s; when += 10ms)
    {
        if (when == 1s)
            draw(urgency::deferrable, 1e11, when);
        draw(urgency::urgent, 20, when);
        draw(urgency::normal, 20, when);
    }
    // Half of the demand is of either class. The absurd request counts with a
    // full bucket, which its class may save.
    constexpr double seconds = 20;
    constexpr double min_normal = 0.25 * 0.5 * 1'000 * seconds;
    constexpr double min_urgent = 0.95 * (1'000 * seconds - min_normal - 1'000);
    const auto& totals = accountant.accounts().at("o1").order->totals;
    cr_assert_geq(totals[urgency::normal].used, min_normal);
    cr_assert_geq(totals[urgency::urgent].used, min_urgent);
}
