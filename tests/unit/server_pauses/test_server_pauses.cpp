#include "pausing_fleet.hpp"

#include <cstddef>
#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// Allowed by the users' rule.
constexpr std::size_t most_in_pause = 2;

constexpr std::size_t router_counts[] = {7, 65, 300};
constexpr std::uint64_t seeds[] = {1, 2, 3};

pausing_fleet::options
options_for(std::size_t routers, std::size_t engines, std::uint64_t seed)
{
    pausing_fleet::options made;
    made.routers = routers;
    made.engines = engines;
    made.seed = seed;
    return made;
}

/// Runs a check for each size of a fleet and each seed.
template <class Check>
void for_each_fleet(std::size_t engines, Check check)
{
    for (const std::size_t routers : router_counts)
    {
        for (const std::uint64_t seed : seeds)
        {
            pausing_fleet fleet(options_for(routers, engines, seed));
            check(fleet, routers);
        }
    }
}

/// Checks that no router sent too much to an engine in a pause.
void expect_pauses_kept(const pausing_fleet& fleet, std::size_t routers)
{
    cr_expect_leq(
        fleet.most_in_pause(),
        most_in_pause,
        "%zu routers: %zu requests in a pause",
        routers,
        fleet.most_in_pause());
}

/// What became of the requests since the object was made.
class outcome_counter
{
public:
    explicit outcome_counter(const pausing_fleet& fleet)
        : watched(fleet)
        , served(fleet.served())
        , refused(fleet.refused())
    {
    }

    /// Checks that at least this share of the requests was served.
    void expect_served(double least_share, std::size_t routers) const
    {
        const auto now_served =
            static_cast<double>(this->watched.served() - this->served);
        const auto now_refused =
            static_cast<double>(this->watched.refused() - this->refused);
        const double share = now_served / (now_served + now_refused);
        cr_expect_geq(share, least_share, "%zu routers: %.3f", routers, share);
    }

private:
    const pausing_fleet& watched;
    std::size_t served;
    std::size_t refused;
};

} // namespace

/// Incident inc10: the retries of one request and the requests for all other
/// models went on reaching a server that had asked for a pause.
Test(server_pauses, a_server_that_asked_for_a_pause_is_left_alone)
{
    for_each_fleet(
        4,
        [](pausing_fleet& fleet, std::size_t routers)
        {
            fleet.send(2s, 0.5 * fleet.capacity());
            fleet.reject(0, 1s);
            const outcome_counter outcomes(fleet);
            fleet.send(6s, 0.5 * fleet.capacity());
            expect_pauses_kept(fleet, routers);
            // The others have room for all.
            outcomes.expect_served(0.99, routers);
        });
}

Test(server_pauses, servers_that_reject_most_requests_are_left_alone)
{
    for_each_fleet(
        4,
        [](pausing_fleet& fleet, std::size_t routers)
        {
            fleet.send(2s, 0.5 * fleet.capacity());
            for (std::size_t i = 0; i < 4; ++i)
                fleet.reject(i, 12s, 0.8);
            fleet.send(16s, 0.5 * fleet.capacity());
            expect_pauses_kept(fleet, routers);
        });
}

Test(server_pauses, callers_that_cannot_wait_for_the_end_are_refused_at_once)
{
    // Until the routers have noticed that no server is left.
    constexpr duration at_once = 100ms;
    for (const std::size_t routers : router_counts)
    {
        pausing_fleet::options config = options_for(routers, 2, 1);
        config.caller_timeout = 1s;
        pausing_fleet fleet(config);
        fleet.send(2s, 0.5 * fleet.capacity());
        fleet.reject(0, 1s);
        fleet.reject(1, 1s);
        fleet.send(2s, 0.5 * fleet.capacity());
        cr_expect_gt(fleet.refused(), 0);
        cr_expect_leq(
            fleet.longest_hopeless_wait().count(),
            at_once.count(),
            "%zu routers: refused after %lld us",
            routers,
            static_cast<long long>(fleet.longest_hopeless_wait().count()));
    }
}

/// All routers were told the same end, and have requests that wait for it.
Test(server_pauses, the_end_of_a_pause_brings_no_herd)
{
    for (const std::size_t routers : router_counts)
    {
        pausing_fleet::options config = options_for(routers, 2, 1);
        config.caller_timeout = 6s;
        pausing_fleet fleet(config);
        fleet.send(2s, 0.3 * fleet.capacity());
        fleet.reject(0, 300ms);
        fleet.reject(1, 300ms);
        fleet.send(300ms, 0.3 * fleet.capacity());
        const std::size_t usual = fleet.take_peak();
        fleet.send(2400ms, 0.3 * fleet.capacity());
        fleet.take_peak();
        // The pauses end between 2.7 and 3 s after the first.
        fleet.send(2s, 0.3 * fleet.capacity());
        const std::size_t after = fleet.take_peak();
        std::printf(
            "%zu routers: %zu requests at an engine at most before, %zu after "
            "the pause\n",
            routers,
            usual,
            after);
        cr_expect_leq(
            after,
            2 * config.slots,
            "%zu routers: %zu requests at an engine at once",
            routers,
            after);
    }
}

Test(server_pauses, the_servers_are_used_again_after_the_pause)
{
    for (const std::size_t routers : router_counts)
    {
        pausing_fleet fleet(options_for(routers, 2, 1));
        fleet.send(2s, 0.5 * fleet.capacity());
        fleet.reject(0, 300ms);
        fleet.reject(1, 300ms);
        fleet.send(5s, 0.5 * fleet.capacity());
        const outcome_counter outcomes(fleet);
        fleet.send(3s, 0.5 * fleet.capacity());
        outcomes.expect_served(0.99, routers);
    }
}

Test(server_pauses, a_server_that_leaves_gets_no_requests)
{
    for_each_fleet(
        4,
        [](pausing_fleet& fleet, std::size_t routers)
        {
            fleet.send(2s, 0.5 * fleet.capacity());
            fleet.leave(0);
            fleet.send(8s, 0.5 * fleet.capacity());
            cr_expect_eq(
                fleet.after_leaving(),
                0,
                "%zu routers: %zu requests",
                routers,
                fleet.after_leaving());
        });
}

/// A router that has lost its state, or was frozen while it was told, mustn't
/// make the others send to servers that asked them for a pause or leave.
Test(server_pauses, killed_and_frozen_routers_change_nothing_for_the_others)
{
    constexpr duration frozen = 700ms;
    constexpr std::size_t rounds = 8;
    for_each_fleet(
        4,
        [](pausing_fleet& fleet, std::size_t routers)
        {
            fleet.send(2s, 0.3 * fleet.capacity());
            fleet.reject(0, 2s);
            fleet.leave(1);
            const outcome_counter outcomes(fleet);
            for (std::size_t i = 0; i < rounds; ++i)
            {
                fleet.kill(2 * i % routers);
                fleet.suspend((2 * i + 1) % routers, frozen);
                fleet.send(1s, 0.3 * fleet.capacity());
            }
            expect_pauses_kept(fleet, routers);
            cr_expect_eq(
                fleet.after_leaving(),
                0,
                "%zu routers: %zu requests at a leaving server",
                routers,
                fleet.after_leaving());
            outcomes.expect_served(0.95, routers);
        });
}
