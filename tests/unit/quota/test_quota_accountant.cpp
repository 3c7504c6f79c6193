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
    deployment made;
    organisation one;
    one.name = "o1";
    one.limit = limit;
    made.organisations = {one};
    return limits_of(made, quota_bounds());
}

quota_query make_ask(const std::string& router, std::uint64_t id = 0)
{
    quota_query made;
    made.router = router;
    made.last_reply_age_us = 0;
    made.counting_delay_us = 0;
    if (id != 0)
        made.draws = {{id, "o1", 300, 0}};
    return made;
}

/// Heard by two of four routers; its buckets are as full as they get.
struct half_heard
{
    half_heard()
    {
        this->counts.set_limits(make_limits(usage_limit{1000, 1000}), at(0s));
        this->counts.set_router_count(4);
        for (duration passed = 0s; passed < 5s; passed += 100ms)
            this->hear(passed);
    }

    void hear(duration passed)
    {
        this->counts.handle_query(make_ask("r1"), at(passed));
        this->counts.handle_query(make_ask("r2"), at(passed));
        this->counts.tick(at(passed));
    }

    quota_accountant counts{"a", quota_bounds()};
};

} // namespace

Test(quota_accountant, hands_out_the_part_of_the_routers_that_it_hears)
{
    half_heard test;
    cr_assert_float_eq(test.counts.share(), 0.5, 1e-9);
    const auto& one = test.counts.accounts().at("o1");
    cr_assert_float_eq(one.bucket.level(), 500, 1e-6);
}

Test(quota_accountant, routers_that_it_hears_no_more_take_their_part_along)
{
    half_heard test;
    test.counts.tick(at(7s));
    cr_assert_eq(test.counts.share(), 0);
    cr_assert_eq(test.counts.accounts().at("o1").bucket.level(), 0);
}

Test(quota_accountant, a_router_that_hears_no_answers_does_not_count)
{
    half_heard test;
    quota_query deaf = make_ask("r3");
    deaf.last_reply_age_us = quota_query::never;
    test.counts.handle_query(deaf, at(5s));
    test.hear(5100ms);
    cr_assert_float_eq(test.counts.share(), 0.5, 1e-9);
}

Test(quota_accountant, a_router_that_another_one_counts_does_not_count_yet)
{
    half_heard test;
    quota_query moving = make_ask("r3");
    moving.counting_delay_us = 300'000;
    test.counts.handle_query(moving, at(5s));
    test.hear(5100ms);
    cr_assert_float_eq(test.counts.share(), 0.5, 1e-9);
    test.hear(5400ms);
    cr_assert_float_eq(test.counts.share(), 0.75, 1e-9);
}

Test(quota_accountant, a_repeated_draw_is_answered_alike_and_counted_once)
{
    half_heard test;
    const auto first = test.counts.handle_query(make_ask("r1", 7), at(4950ms));
    const auto again = test.counts.handle_query(make_ask("r1", 7), at(4960ms));
    cr_assert(first.results.at(0).is_allowed);
    cr_assert(again.results.at(0).is_allowed);
    cr_assert_float_eq(test.counts.accounts().at("o1").used, 300, 1e-9);
}

Test(quota_accountant, a_refusal_says_when_there_is_room)
{
    half_heard test;
    test.counts.handle_query(make_ask("r1", 7), at(4950ms));
    const auto refused =
        test.counts.handle_query(make_ask("r1", 8), at(4950ms));
    cr_assert_not(refused.results.at(0).is_allowed);
    // 200 are left of 500, and 500 come in a second.
    cr_assert_eq(refused.results.at(0).wait_us, 200'000);
}

Test(quota_accountant, what_did_not_run_is_given_back)
{
    half_heard test;
    test.counts.handle_query(make_ask("r1", 7), at(4950ms));
    quota_query back = make_ask("r1");
    back.returns = {{"o1", 300}};
    test.counts.handle_query(back, at(4950ms));
    const auto& one = test.counts.accounts().at("o1");
    cr_assert_float_eq(one.bucket.level(), 500, 1e-6);
    cr_assert_float_eq(one.used, 0, 1e-9);
}

Test(quota_accountant, one_without_a_limit_is_allowed_and_not_counted)
{
    half_heard test;
    test.counts.set_limits(make_limits({}), at(5s));
    const auto answer = test.counts.handle_query(make_ask("r1", 7), at(5s));
    cr_assert(answer.results.at(0).is_allowed);
    cr_assert(test.counts.accounts().empty());
}

Test(quota_accountant, a_changed_limit_keeps_what_is_there)
{
    half_heard test;
    test.counts.set_limits(make_limits(usage_limit{100, 100}), at(5s));
    test.hear(5s);
    test.hear(5100ms);
    const auto& one = test.counts.accounts().at("o1");
    cr_assert_float_eq(one.bucket.level(), 50, 1e-6);
}

Test(quota_accountant, a_damaged_word_spoils_nothing)
{
    half_heard test;
    const double nonsense[] = {
        std::numeric_limits<double>::quiet_NaN(),
        std::numeric_limits<double>::infinity(),
        -1e9};
    std::uint64_t id = 100;
    for (const double amount : nonsense)
    {
        quota_query ask = make_ask("r1");
        ask.draws = {{++id, "o1", amount, -5}};
        ask.returns = {{"o1", amount}};
        const auto answer = test.counts.handle_query(ask, at(4950ms));
        cr_assert_not(answer.results.at(0).is_allowed);
    }
    quota_query far = make_ask("r3");
    far.last_reply_age_us = std::numeric_limits<std::int64_t>::max();
    far.counting_delay_us = std::numeric_limits<std::int64_t>::max();
    test.counts.handle_query(far, at(4950ms));
    cr_assert_float_eq(
        test.counts.accounts().at("o1").bucket.level(), 500, 1e-6);
    cr_assert(test.counts.handle_query(make_ask("r1", 7), at(4950ms))
                  .results.at(0)
                  .is_allowed);
}

Test(quota_accountant, one_that_knows_of_no_router_hands_out_nothing)
{
    quota_accountant counts("a", quota_bounds());
    counts.set_limits(make_limits(usage_limit{1000, 1000}), at(0s));
    for (duration passed = 0s; passed < 3s; passed += 100ms)
        counts.handle_query(make_ask("r1"), at(passed));
    const auto answer = counts.handle_query(make_ask("r1", 7), at(3s));
    cr_assert_not(answer.results.at(0).is_allowed);
}
