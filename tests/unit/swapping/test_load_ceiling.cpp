#include "core/swapping/load_ceiling.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr double plenty = 100; // loads a second that the store allows
constexpr instant start(100s);

/// @return How many loads may run at once.
std::size_t most_at_once(load_ceiling& ceiling)
{
    std::size_t running = 0;
    while (ceiling.allows(plenty, running, start))
        ++running;
    return running;
}

} // namespace

/// A store that does one load at full speed: four at once each took 24 s.
Test(load_ceiling, loads_that_slow_each_other_down_become_fewer)
{
    load_ceiling ceiling{load_ceiling::options()};
    cr_assert_eq(most_at_once(ceiling), 4);
    ceiling.ended(24s, 6s, 4);
    cr_assert_eq(most_at_once(ceiling), 1);
}

Test(load_ceiling, loads_at_full_speed_become_more)
{
    load_ceiling ceiling{load_ceiling::options()};
    ceiling.ended(6200ms, 6s, 4);
    cr_assert_eq(most_at_once(ceiling), 5);
    ceiling.ended(6200ms, 6s, 3); // says nothing of five
    cr_assert_eq(most_at_once(ceiling), 5);
    ceiling.ended(7500ms, 6s, 5);
    cr_assert_eq(most_at_once(ceiling), 4);
}

Test(load_ceiling, no_more_begin_in_a_window_than_the_store_allows)
{
    load_ceiling ceiling{load_ceiling::options()};
    std::size_t begun = 0;
    for (; ceiling.allows(1.6, 0, start); ++begun)
        ceiling.began(start);
    cr_assert_leq(begun, 8); // 1.6 x 5 s
    cr_assert(ceiling.allows(1.6, 0, start + 5001ms));
}
