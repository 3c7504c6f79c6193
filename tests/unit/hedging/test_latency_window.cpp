#include "core/hedging/hedge_delays.hpp"
#include "core/hedging/latency_window.hpp"

#include <chrono>
#include <cstddef>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start(1000s);

/// Adds latencies of 1 to `count` ms.
void add_rising(latency_window& window, int count, instant now)
{
    for (int i = 1; i <= count; ++i)
        window.add(std::chrono::milliseconds(i), now);
}

} // namespace

/// Too few samples would make a percentile of one or two slow answers.
Test(latency_window, fewer_than_fifty_samples_give_no_percentile)
{
    latency_window window;
    add_rising(window, 49, start);
    cr_assert_not(window.percentile(0.95, start));
    window.add(1ms, start);
    cr_assert(window.percentile(0.95, start));
}

/// A hedge that starts before the percentile costs more than intended.
Test(latency_window, the_percentile_is_not_below_the_exact_one)
{
    for (const int count : {50, 100, 1000, 20'000})
    {
        latency_window window;
        add_rising(window, count, start);
        for (const double fraction : {0.5, 0.95, 1.0})
        {
            const double exact = fraction * count * 1000;
            const auto found = window.percentile(fraction, start);
            cr_assert(found);
            const auto microseconds = static_cast<double>(found->count());
            cr_assert_geq(microseconds, exact);
            cr_assert_leq(microseconds, exact * (1 + 1.0 / 16) + 128);
        }
    }
}

/// A window that keeps old samples hedges by the latency of another load.
Test(latency_window, samples_count_for_thirty_seconds_at_most)
{
    latency_window window;
    add_rising(window, 100, start);
    cr_assert_eq(window.count(start + 26s), 100);
    cr_assert_eq(window.count(start + 30s), 0);
    for (int i = 0; i < 50; ++i)
        window.add(4s, start + 30s);
    cr_assert_geq(*window.percentile(0.01, start + 30s), 4s);
}

Test(latency_window, extreme_latencies_stay_in_the_last_bucket)
{
    latency_window window;
    for (int i = 0; i < 50; ++i)
    {
        window.add(-1s, start);
        window.add(24h, start);
    }
    cr_assert_leq(*window.percentile(0.5, start), 1ms);
    cr_assert_geq(*window.percentile(1, start), 120s);
}

/// Long prompts are slower, but not late.
Test(hedge_delays, sizes_and_routes_have_delays_of_their_own)
{
    hedge_delays delays;
    for (int i = 0; i < 50; ++i)
    {
        delays.add({"notes", 0}, 10ms, start);
        delays.add({"notes", 3}, 400ms, start);
    }
    cr_assert_lt(*delays.delay({"notes", 0}, start), 11ms);
    cr_assert_gt(*delays.delay({"notes", 3}, start), 390ms);
    cr_assert_not(delays.delay({"digests", 0}, start));
}

/// Memory must not grow with the number of routes that ever existed.
Test(hedge_delays, the_class_unused_for_longest_makes_room)
{
    hedge_delays delays;
    for (std::size_t i = 0; i < 3 * hedge_delays::max_classes; ++i)
        for (int sample = 0; sample < 50; ++sample)
            delays.add(
                {"route" + std::to_string(i), 0},
                10ms,
                start + std::chrono::milliseconds(i));
    cr_assert_eq(delays.class_count(), hedge_delays::max_classes);
    cr_assert_not(delays.delay({"route0", 0}, start + 1s));
    cr_assert(delays.delay(
        {"route" + std::to_string(3 * hedge_delays::max_classes - 1), 0},
        start + 1s));
}

Test(size_class, classes_grow_with_the_size)
{
    cr_assert_eq(size_class_of(0), 0);
    cr_assert_eq(size_class_of(1024), 0);
    cr_assert_eq(size_class_of(1025), 1);
    cr_assert_eq(size_class_of(36'000), 3);
    cr_assert_eq(size_class_of(1 << 22), 4);
}
