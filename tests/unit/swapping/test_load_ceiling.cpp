#include "core/swapping/load_ceiling.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr double plenty = 100; // loads per second; never the limit here
constexpr instant start(100s);

/// @return Number of loads that may run concurrently.
std::size_t most_at_once(load_ceiling& ceiling)
{
    std::size_t running = 0;
    while (ceiling.allows(plenty, running, start))
        ++running;
    return running;
}

} // namespace

/// The store serves one load at full speed, in 6 s; four concurrent loads take
/// 24 s each.
Test(load_ceiling, slowed_loads_reduce_the_concurrency)
{
    load_ceiling ceiling{load_ceiling::options()};
    cr_assert_eq(most_at_once(ceiling), 4);
    ceiling.ended(24s, 6s, 4);
    cr_assert_eq(most_at_once(ceiling), 1);
}

Test(load_ceiling, loads_at_full_speed_raise_the_concurrency)
{
    load_ceiling ceiling{load_ceiling::options()};
    ceiling.ended(6200ms, 6s, 4);
    cr_assert_eq(most_at_once(ceiling), 5);
    ceiling.ended(6200ms, 6s, 3); // too few concurrent loads to raise the limit
    cr_assert_eq(most_at_once(ceiling), 5);
    ceiling.ended(7500ms, 6s, 5);
    cr_assert_eq(most_at_once(ceiling), 4);
}

Test(load_ceiling, loads_in_a_window_stay_within_the_rate_of_the_store)
{
    load_ceiling ceiling{load_ceiling::options()};
    std::size_t begun = 0;
    for (; ceiling.allows(1.6, 0, start); ++begun)
        ceiling.began(start);
    cr_assert_leq(begun, 8); // 1.6 x 5 s
    cr_assert(ceiling.allows(1.6, 0, start + 5001ms));
}
