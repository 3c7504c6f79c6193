#include "version_simulation.hpp"

#include <cstddef>
#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_store_reads = 8;
constexpr std::size_t record_sizes[] = {45'000, 1'400'000, 6'000'000};

version_simulation::outcome
distribute(const version_simulation::options& settings)
{
    const version_simulation::outcome result =
        version_simulation(settings).run();
    std::printf(
        "%zu routers, record of %zu bytes, change of %zu: last %.3f s, %zu "
        "reads of the store, %.1f MB by one router\n",
        settings.routers,
        settings.record_bytes,
        settings.change_bytes,
        std::chrono::duration<double>(result.last).count(),
        result.store_reads,
        result.busiest_link_bytes / 1e6);
    return result;
}

version_simulation::outcome
distribute(std::size_t routers, std::size_t record, std::size_t change)
{
    version_simulation::options settings;
    settings.routers = routers;
    settings.record_bytes = record;
    settings.change_bytes = change;
    return distribute(settings);
}

} // namespace

/// The time until the last router had a version grew with the size of the
/// record, whatever had changed.
Test(
    large_configurations,
    a_change_of_many_routes_is_in_force_on_the_last_router_within_1_s)
{
    constexpr std::size_t many_routes = 60'000; ///< bytes, compressed
    for (const std::size_t routers : {7, 65, 300, 1000})
    {
        for (const std::size_t record : record_sizes)
        {
            const auto result = distribute(routers, record, many_routes);
            cr_expect(result.last <= 1s);
            cr_expect_leq(result.store_reads, max_store_reads);
        }
    }
}

Test(
    large_configurations,
    a_change_of_one_route_is_in_force_on_the_last_router_within_500_ms)
{
    constexpr std::size_t one_route = 300; ///< bytes
    for (const std::size_t routers : {7, 65, 300, 1000})
    {
        for (const std::size_t record : record_sizes)
        {
            const auto result = distribute(routers, record, one_route);
            cr_expect(result.last <= 500ms);
            cr_expect_leq(result.store_reads, max_store_reads);
        }
    }
}

Test(large_configurations, lost_announcements_delay_a_version_by_little)
{
    for (const std::size_t routers : {65, 300})
    {
        version_simulation::options settings;
        settings.routers = routers;
        settings.lost_announcements = 0.1;
        const auto result = distribute(settings);
        cr_expect(result.last <= 1s);
        cr_expect_leq(result.store_reads, max_store_reads);
    }
}

/// Many routers request a version from routers that no longer exist.
Test(large_configurations, routers_that_are_gone_cause_few_reads_of_the_store)
{
    for (const std::size_t routers : {65, 300})
    {
        version_simulation::options settings;
        settings.routers = routers;
        settings.gone = routers / 6;
        const auto result = distribute(settings);
        cr_expect(result.last <= 1s);
        cr_expect_leq(result.store_reads, max_store_reads);
    }
}
