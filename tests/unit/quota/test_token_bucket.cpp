#include "core/quota/token_bucket.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr usage_limit terms{1000, 500};

} // namespace

Test(token_bucket, fills_at_its_rate_to_its_capacity)
{
    token_bucket bucket;
    bucket.fill(100ms, terms);
    cr_assert_float_eq(bucket.level(), 100, 1e-9);
    bucket.fill(10s, terms);
    cr_assert_float_eq(bucket.level(), 500, 1e-9);
}

Test(token_bucket, a_request_waits_for_what_is_missing)
{
    token_bucket bucket;
    bucket.fill(100ms, terms);
    cr_assert(bucket.take(300, 100ms, terms) == std::nullopt);
    cr_assert_float_eq(bucket.level(), 100, 1e-9);
    cr_assert(bucket.take(300, 250ms, terms) == duration(200ms));
    cr_assert_float_eq(bucket.level(), -200, 1e-9);
    cr_assert(bucket.until(100, terms) == duration(300ms));
}

Test(token_bucket, one_over_the_capacity_goes_when_it_is_full)
{
    token_bucket bucket;
    bucket.fill(10s, terms);
    cr_assert(bucket.take(2000, 0ms, terms) == duration(0));
    cr_assert_float_eq(bucket.level(), -1500, 1e-9);
}

Test(token_bucket, what_is_put_back_counts_up_to_the_capacity)
{
    token_bucket bucket;
    bucket.fill(10s, terms);
    bucket.put_back(100, terms);
    cr_assert_float_eq(bucket.level(), 500, 1e-9);
}

Test(token_bucket, a_capacity_that_shrinks_takes_what_is_over)
{
    token_bucket bucket;
    bucket.fill(10s, terms);
    bucket.fill(0ms, {1000, 50});
    cr_assert_float_eq(bucket.level(), 50, 1e-9);
}

Test(token_bucket, never_filled_it_tells_a_long_time)
{
    const token_bucket bucket;
    cr_assert(bucket.until(1, {0, 0}) == duration(1h));
    cr_assert(bucket.until(1, {0, 5}) == duration(1h));
}
