// A stream goes on only at the version that began it, wherever its caller takes
// it up. Routers in virtual time.

#include "origin_fleet.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

const std::vector<std::string> three_versions = {"v1", "v1.1", "v1.2"};

/// Of the streams taken up while routers are killed, restarted or reset.
constexpr double required_share = 0.95;

constexpr std::size_t fleet_sizes[] = {7, 65, 300};

origin_fleet::options
make_options(std::size_t routers, std::vector<std::string> versions)
{
    origin_fleet::options made;
    made.routers = routers;
    made.versions = std::move(versions);
    made.streams_per_second = 100 + 2 * static_cast<double>(routers);
    return made;
}

void expect_share(const origin_fleet& fleet, double share)
{
    const origin_fleet::result& seen = fleet.seen();
    cr_expect_eq(seen.at_other_version, 0, "%zu", seen.at_other_version);
    cr_expect_gt(seen.taken_up, 50, "%zu", seen.taken_up);
    cr_expect_geq(
        seen.share(), share, "%zu of %zu went on", seen.went_on, seen.taken_up);
}

} // namespace

Test(stream_origins, streams_of_killed_routers_go_on_at_their_version)
{
    for (const std::size_t routers : fleet_sizes)
    {
        origin_fleet fleet(make_options(routers, three_versions));
        for (int round = 0; round < 4; ++round)
        {
            fleet.run(3s);
            fleet.kill_share(0.6);
            fleet.run(3s);
        }
        expect_share(fleet, required_share);
    }
}

Test(stream_origins, streams_go_on_while_all_routers_restart_in_turn)
{
    for (const std::size_t routers : fleet_sizes)
    {
        origin_fleet fleet(make_options(routers, three_versions));
        fleet.run(5s);
        fleet.restart_all(duration(4s) / static_cast<int>(routers));
        fleet.run(10s);
        expect_share(fleet, required_share);
    }
}

Test(stream_origins, streams_go_on_after_their_connections_were_reset)
{
    for (const std::size_t routers : fleet_sizes)
    {
        origin_fleet fleet(make_options(routers, three_versions));
        for (int round = 0; round < 4; ++round)
        {
            fleet.run(3s);
            fleet.reset_share(0.8);
        }
        fleet.run(5s);
        expect_share(fleet, 0.99);
    }
}

Test(stream_origins, streams_go_on_although_a_third_of_the_messages_is_lost)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto settings = make_options(routers, three_versions);
        settings.loss = 0.3;
        origin_fleet fleet(settings);
        for (int round = 0; round < 4; ++round)
        {
            fleet.run(3s);
            fleet.kill_share(0.3);
            fleet.run(3s);
        }
        expect_share(fleet, required_share);
    }
}

Test(stream_origins, streams_do_not_change_version_at_routers_that_are_cut_off)
{
    for (const std::size_t routers : fleet_sizes)
    {
        origin_fleet fleet(make_options(routers, {"v1"}));
        fleet.run(3s);
        // A third of the routers hears of nothing while v1 is replaced.
        const auto is_cut_off = [](std::size_t router)
        {
            return router % 3 == 0;
        };
        fleet.hears_registry = [&](std::size_t router)
        {
            return !is_cut_off(router);
        };
        fleet.reaches = [&](std::size_t from, std::size_t to)
        {
            return !is_cut_off(from) && !is_cut_off(to);
        };
        fleet.set_versions({"v1", "v1.1"});
        for (int round = 0; round < 4; ++round)
        {
            fleet.run(2s);
            fleet.reset_share(0.5);
        }
        fleet.run(5s);
        cr_expect_eq(fleet.seen().at_other_version, 0);
        cr_expect_gt(fleet.seen().taken_up, 50);
    }
}

Test(stream_origins, a_release_through_the_fleet_mixes_no_versions)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const bool names_attempt : {true, false})
        {
            auto settings = make_options(routers, {"v1"});
            settings.names_attempt = names_attempt;
            origin_fleet fleet(settings);
            fleet.run(3s);
            fleet.set_versions({"v1", "v1.1"});
            fleet.run(2s);
            fleet.kill_share(0.6);
            fleet.run(3s);
            fleet.set_versions({"v1.1"});
            fleet.reset_share(0.8);
            fleet.run(2s);
            fleet.restart_all(200ms);
            fleet.run(4s);
            cr_expect_eq(fleet.seen().at_other_version, 0);
        }
    }
}

Test(stream_origins, all_killed_at_once_mix_no_versions)
{
    for (const std::size_t routers : fleet_sizes)
    {
        origin_fleet fleet(make_options(routers, three_versions));
        fleet.run(3s);
        fleet.kill_share(1.0);
        fleet.run(5s);
        cr_expect_eq(fleet.seen().at_other_version, 0);
    }
}

Test(stream_origins, a_single_version_goes_on_whether_it_is_named_or_not)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const bool names_attempt : {true, false})
        {
            auto settings = make_options(routers, {"v1"});
            settings.names_attempt = names_attempt;
            origin_fleet fleet(settings);
            for (int round = 0; round < 3; ++round)
            {
                fleet.run(3s);
                fleet.kill_share(0.6);
                fleet.run(2s);
                fleet.reset_share(0.8);
            }
            fleet.restart_all(duration(4s) / static_cast<int>(routers));
            fleet.run(8s);
            expect_share(fleet, 0.99);
        }
    }
}

Test(stream_origins, a_single_version_goes_on_after_all_were_killed_at_once)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const bool names_attempt : {true, false})
        {
            auto settings = make_options(routers, {"v1"});
            settings.names_attempt = names_attempt;
            origin_fleet fleet(settings);
            fleet.run(12s);
            fleet.kill_share(1.0);
            fleet.run(2s);
            fleet.reset_share(0.8);
            fleet.run(5s);
            expect_share(fleet, 0.99);
        }
    }
}

Test(stream_origins, all_killed_after_a_release_mix_no_versions)
{
    for (const std::size_t routers : fleet_sizes)
    {
        auto settings = make_options(routers, {"v1"});
        settings.names_attempt = false;
        origin_fleet fleet(settings);
        fleet.run(3s);
        fleet.set_versions({"v1.1"});
        fleet.run(600ms);
        fleet.kill_share(1.0);
        fleet.run(5s);
        cr_expect_gt(fleet.seen().taken_up, 50);
        cr_expect_eq(fleet.seen().at_other_version, 0);
    }
}

Test(stream_origins, a_single_version_goes_on_while_the_store_is_down)
{
    for (const std::size_t routers : fleet_sizes)
    {
        for (const bool names_attempt : {true, false})
        {
            auto settings = make_options(routers, {"v1"});
            settings.names_attempt = names_attempt;
            origin_fleet fleet(settings);
            fleet.run(3s);
            fleet.hears_registry = [](std::size_t)
            {
                return false;
            };
            for (int round = 0; round < 3; ++round)
            {
                fleet.run(3s);
                fleet.reset_share(0.8);
            }
            fleet.run(3s);
            expect_share(fleet, 0.99);
        }
    }
}

Test(stream_origins, records_cost_little_at_the_size_to_design_for)
{
    auto settings = make_options(400, three_versions);
    settings.streams_per_second = 1600;
    origin_fleet fleet(settings);
    fleet.run(8s);
    // Half of what control may send in all.
    cr_expect_lt(
        fleet.bytes_per_second(), 5'000, "%f", fleet.bytes_per_second());
    cr_expect_lt(fleet.most_records(), 1'000, "%zu", fleet.most_records());
}
