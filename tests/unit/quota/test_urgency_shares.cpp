#include "core/quota/urgency_shares.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr usage_limit limit{1'000, 1'000};

instant at(duration since_start)
{
    return instant(100s + since_start);
}

path_route make_route(std::uint8_t rank, request_kind kind, duration objective)
{
    path_route route;
    route.rank = rank;
    route.kind = kind;
    route.objective = objective;
    return route;
}

/// An organisation's bucket and its order.
struct shares_fixture
{
    /// Draws once.
    std::optional<duration> draw(
        std::uint8_t urgency,
        double amount,
        duration max_wait,
        duration when,
        std::uint64_t id)
    {
        this->bucket.refill(when - this->refilled, limit);
        this->refilled = when;
        this->shares.add_demand(id, urgency, amount, at(when));
        this->shares.update(this->bucket, limit, at(when));
        return this->shares.take(
            this->bucket, urgency, amount, max_wait, limit);
    }

    /// The demand of each class exceeds the limit.
    void overload(duration from, duration to)
    {
        for (duration when = from; when < to; when += 10ms)
        {
            for (const std::uint8_t urgency :
                 {urgency::urgent, urgency::normal, urgency::deferrable})
                this->draw(urgency, 20, 0ms, when, ++this->last_id);
        }
    }

    token_bucket bucket;
    urgency_shares shares;
    duration refilled{};
    std::uint64_t last_id = 0;
};

} // namespace

/// The classes of the routes of deployments R and T, with the usual window.
Test(urgency_class, depends_on_rank_kind_objective_and_window)
{
    constexpr duration window = 8s;
    const auto class_of =
        [](std::uint8_t rank, request_kind kind, duration objective)
    {
        return urgency::class_of(make_route(rank, kind, objective), window);
    };
    using enum request_kind;
    cr_assert_eq(class_of(0, streaming, 250ms), urgency::urgent);
    cr_assert_eq(class_of(0, non_idempotent, 2s), urgency::urgent);
    cr_assert_eq(class_of(2, non_idempotent, 120ms), urgency::urgent);
    cr_assert_eq(class_of(2, idempotent, 120ms), urgency::normal);
    cr_assert_eq(class_of(1, idempotent, 1999ms), urgency::normal);
    cr_assert_eq(class_of(2, non_idempotent, 2s), urgency::deferrable);
    cr_assert_eq(class_of(2, idempotent, 8s), urgency::deferrable);
    // No objective is set: nothing shows that the request is urgent.
    cr_assert_eq(class_of(1, non_idempotent, 0s), urgency::normal);
    path_route resumable = make_route(1, streaming, 800ms);
    cr_assert_eq(urgency::class_of(resumable, window), urgency::urgent);
    resumable.resumable = true;
    cr_assert_eq(urgency::class_of(resumable, window), urgency::normal);
    cr_assert_eq(
        urgency::class_of(make_route(2, idempotent, 120ms), 400ms),
        urgency::deferrable);
}

/// Within the limit the order must not refuse or delay anything.
Test(urgency_shares, below_the_limit_the_bucket_decides)
{
    shares_fixture test;
    token_bucket plain;
    duration refilled{};
    for (int i = 0; i < 200; ++i)
    {
        const duration when = 10ms * i;
        plain.refill(when - refilled, limit);
        refilled = when;
        const auto expected = plain.take(9, 100ms, limit);
        const auto actual = test.draw(
            static_cast<std::uint8_t>(i % 3),
            9,
            100ms,
            when,
            static_cast<std::uint64_t>(i));
        cr_assert_not(test.shares.is_short());
        cr_assert(actual == expected);
    }
}

Test(urgency_shares, a_repeated_draw_counts_once)
{
    shares_fixture test;
    cr_assert(test.shares.add_demand(1, urgency::deferrable, 600, at(0s)));
    for (duration when = 250ms; when <= 4s; when += 250ms)
        cr_assert_not(
            test.shares.add_demand(1, urgency::deferrable, 600, at(when)));
    test.shares.add_demand(2, urgency::urgent, 600, at(4s));
    test.shares.update(test.bucket, limit, at(4s));
    cr_assert_not(test.shares.is_short());
    cr_assert(
        test.shares.add_demand(1, urgency::deferrable, 600, at(5100ms)),
        "forgotten a second after the last repeat");
}

Test(urgency_shares, the_limit_goes_to_the_urgent_class_first)
{
    shares_fixture test;
    test.overload(0s, 3s);
    cr_assert(test.shares.is_short());
    // 2,000 tokens a second of each class, of 1,000: a sixth is served.
    constexpr double min_class_share = 0.25;
    constexpr double guaranteed = min_class_share * 1'000 / 3;
    double sum = 0;
    for (std::uint8_t i = 0; i < urgency::class_count; ++i)
    {
        cr_assert_geq(test.shares.rate(i), guaranteed);
        sum += test.shares.rate(i);
    }
    cr_assert_float_eq(sum, 1'000, 0.001);
    cr_assert_geq(test.shares.rate(urgency::urgent), 0.95 * 10 / 12 * 1'000);
}

/// Only requests that can't wait longer may use tokens of the near future.
Test(urgency_shares, requests_that_can_wait_reserve_nothing)
{
    shares_fixture test;
    test.overload(0s, 2s);
    cr_assert_not(
        test.draw(urgency::deferrable, 2'000, 4s, 2s, ++test.last_id));
    cr_assert_not(test.draw(urgency::normal, 2'000, 4s, 2s, ++test.last_id));
    const auto wait = test.draw(urgency::urgent, 50, 100ms, 2s, ++test.last_id);
    cr_assert(wait);
    cr_assert_leq(wait->count(), duration(100ms).count());
}

Test(urgency_shares, the_order_ends_with_the_overload)
{
    shares_fixture test;
    test.overload(0s, 2s);
    cr_assert(test.shares.is_short());
    cr_assert(test.draw(urgency::deferrable, 500, 0ms, 4s, ++test.last_id));
    cr_assert_not(test.shares.is_short());
}

/// Callers that are refused together must not come back together.
Test(urgency_shares, stated_times_are_spread_and_repeatable)
{
    shares_fixture test;
    test.overload(0s, 2s);
    urgency_shares same = test.shares;
    duration shortest = duration::max();
    duration longest{};
    for (std::uint64_t id = 1; id <= 100; ++id)
    {
        const duration wait = test.shares.expected_wait(
            test.bucket, id, urgency::normal, 20, limit);
        cr_assert(
            wait ==
            same.expected_wait(test.bucket, id, urgency::normal, 20, limit));
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    cr_assert_leq(longest.count(), shortest.count() * 5 / 4);
    cr_assert_geq(longest.count(), shortest.count() * 6 / 5);
    cr_assert_leq(longest.count(), duration(5s).count());
}

/// A request above the burst passes when the bucket is full, as without order.
Test(urgency_shares, a_request_above_the_burst_is_not_refused_forever)
{
    shares_fixture test;
    cr_assert_not(
        test.draw(urgency::deferrable, 3'000, 0ms, 0s, ++test.last_id));
    cr_assert(test.draw(urgency::deferrable, 3'000, 0ms, 1s, ++test.last_id));
    cr_assert_lt(test.bucket.level(), 0);
}
