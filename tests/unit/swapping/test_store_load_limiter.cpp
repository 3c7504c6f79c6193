#include "core/swapping/store_load_limiter.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr double unlimited_rate = 100; // loads per second; never the limit here
constexpr instant start(100s);

/// @return Number of loads that may run concurrently.
std::size_t concurrency_limit(store_load_limiter& limiter)
{
    std::size_t running = 0;
    while (limiter.may_start(unlimited_rate, running, start))
        ++running;
    return running;
}

} // namespace

/// The store serves one load at full speed, in 6 s; four concurrent loads take
/// 24 s each.
Test(store_load_limiter, slowed_loads_reduce_the_concurrency)
{
    store_load_limiter limiter{store_load_limiter::options()};
    cr_assert_eq(concurrency_limit(limiter), 4);
    limiter.load_ended(24s, 6s, 4);
    cr_assert_eq(concurrency_limit(limiter), 1);
}

Test(store_load_limiter, loads_at_full_speed_raise_the_concurrency)
{
    store_load_limiter limiter{store_load_limiter::options()};
    limiter.load_ended(6200ms, 6s, 4);
    cr_assert_eq(concurrency_limit(limiter), 5);
    limiter.load_ended(
        6200ms, 6s, 3); // too few concurrent loads to raise the limit
    cr_assert_eq(concurrency_limit(limiter), 5);
    limiter.load_ended(7500ms, 6s, 5);
    cr_assert_eq(concurrency_limit(limiter), 4);
}

Test(store_load_limiter, loads_in_a_window_stay_within_the_rate_of_the_store)
{
    store_load_limiter limiter{store_load_limiter::options()};
    std::size_t started = 0;
    for (; limiter.may_start(1.6, 0, start); ++started)
        limiter.load_started(start);
    cr_assert_leq(started, 8); // 1.6 x 5 s
    cr_assert(limiter.may_start(1.6, 0, start + 5001ms));
}
