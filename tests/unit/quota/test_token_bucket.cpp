#include "core/quota/token_bucket.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr usage_limit limit{1000, 500};

} // namespace

Test(token_bucket, fills_at_its_rate_to_its_capacity)
{
    token_bucket bucket;
    bucket.refill(100ms, limit);
    cr_assert_float_eq(bucket.level(), 100, 1e-9);
    bucket.refill(10s, limit);
    cr_assert_float_eq(bucket.level(), 500, 1e-9);
}

Test(token_bucket, a_request_waits_for_missing_tokens)
{
    token_bucket bucket;
    bucket.refill(100ms, limit);
    cr_assert(bucket.take(300, 100ms, limit) == std::nullopt);
    cr_assert_float_eq(bucket.level(), 100, 1e-9);
    cr_assert(bucket.take(300, 250ms, limit) == duration(200ms));
    cr_assert_float_eq(bucket.level(), -200, 1e-9);
    cr_assert(bucket.time_until(100, limit) == duration(300ms));
}

Test(token_bucket, a_request_above_the_capacity_passes_when_the_bucket_is_full)
{
    token_bucket bucket;
    bucket.refill(10s, limit);
    cr_assert(bucket.take(2000, 0ms, limit) == duration(0));
    cr_assert_float_eq(bucket.level(), -1500, 1e-9);
}

Test(token_bucket, returned_tokens_count_up_to_the_capacity)
{
    token_bucket bucket;
    bucket.refill(10s, limit);
    bucket.return_tokens(100, limit);
    cr_assert_float_eq(bucket.level(), 500, 1e-9);
}

Test(token_bucket, a_reduced_capacity_drops_excess_tokens)
{
    token_bucket bucket;
    bucket.refill(10s, limit);
    bucket.refill(0ms, {1000, 50});
    cr_assert_float_eq(bucket.level(), 50, 1e-9);
}

Test(token_bucket, a_bucket_that_never_refills_reports_the_longest_wait)
{
    const token_bucket bucket;
    cr_assert(bucket.time_until(1, {0, 0}) == duration(1h));
    cr_assert(bucket.time_until(1, {0, 5}) == duration(1h));
}
