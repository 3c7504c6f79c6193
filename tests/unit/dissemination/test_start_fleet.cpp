#include "start_fleet.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

double whole_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

start_fleet::outcome
start(std::size_t routers, std::size_t first_readers, std::size_t gone = 0)
{
    start_fleet::options settings;
    settings.routers = routers;
    settings.choice.first_readers = first_readers;
    settings.gone_first = gone;
    const start_fleet::outcome seen = start_fleet(settings).run();
    std::printf(
        "%zu routers, %zu read first, %zu gone: last %.2f s, %zu listings, "
        "%.1f MB of the store, %.1f MB by one router\n",
        routers,
        first_readers,
        gone,
        whole_seconds(seen.last),
        seen.listings,
        seen.store_bytes / 1e6,
        seen.busiest_link_bytes / 1e6);
    return seen;
}

} // namespace

/// Each of three hundred routers asked the store for three thousand entries;
/// meanwhile it had no time for a configuration.
Test(start_fleet, a_start_of_all_asks_the_store_for_few_listings)
{
    for (const std::size_t routers : {7, 65, 300, 1000})
    {
        start(routers, routers);
        cr_assert_leq(start(routers, 4).listings, 8);
    }
}

/// What is aimed at: all serve again within 2 s after all were killed.
Test(start_fleet, three_hundred_routers_have_the_registry_within_two_seconds)
{
    cr_assert(start(300, 4).last <= 2s);
}

/// Records of VMs that are gone for good stand first among all: the others have
/// the registry well before they have to serve again, 12 s after a start.
Test(start_fleet, first_readers_that_are_gone_keep_nobody_waiting_for_good)
{
    const start_fleet::outcome seen = start(300, 4, 4);
    cr_assert(seen.last < 12s);
    cr_assert_lt(seen.listings, 60);
}
