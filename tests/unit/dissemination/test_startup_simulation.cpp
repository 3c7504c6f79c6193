#include "startup_simulation.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

startup_simulation::outcome
start(std::size_t routers, std::size_t first_readers, std::size_t absent = 0)
{
    startup_simulation::options settings;
    settings.routers = routers;
    settings.choice.first_readers = first_readers;
    settings.absent_routers = absent;
    const startup_simulation::outcome result =
        startup_simulation(settings).run();
    std::printf(
        "%zu routers, %zu read first, %zu gone: last %.2f s, %zu listings, "
        "%.1f MB of the store, %.1f MB by one router\n",
        routers,
        first_readers,
        absent,
        to_seconds(result.last),
        result.listings,
        result.store_bytes / 1e6,
        result.busiest_link_bytes / 1e6);
    return result;
}

} // namespace

/// When each of 300 routers listed 3000 entries after a common start, the store
/// was too busy to serve a configuration.
Test(startup_simulation, a_common_start_reads_few_listings_from_the_store)
{
    for (const std::size_t routers : {7, 65, 300, 1000})
    {
        start(routers, routers);
        cr_assert_leq(start(routers, 4).listings, 8);
    }
}

/// All routers have to serve again within 2 s after all were killed.
Test(
    startup_simulation,
    three_hundred_routers_have_the_registry_within_two_seconds)
{
    cr_assert(start(300, 4).last <= 2s);
}

/// The first readers may be stale records of VMs that no longer exist. The
/// other routers still have to get the registry before the limit of 12 s after
/// a start in which they have to serve again.
Test(
    startup_simulation,
    absent_first_readers_delay_the_others_for_a_limited_time)
{
    const startup_simulation::outcome result = start(300, 4, 4);
    cr_assert(result.last < 12s);
    cr_assert_lt(result.listings, 60);
}
