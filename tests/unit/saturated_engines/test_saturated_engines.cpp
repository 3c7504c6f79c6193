#include "saturated_run.hpp"

#include <cstddef>
#include <cstdio>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

/// Each router may have a request at each engine. Their sum filled the queues
/// of the engines, so that each answer was late.
Test(saturated_engines, answers_are_prompt_while_demand_exceeds_the_room)
{
    for (const std::size_t routers : {84, 300})
    {
        for (const double load : {1.5, 3.0})
        {
            const auto config = engines_of_12_slots(routers);
            saturated_fleet fleet(config, {request_class{}});
            expect_room_is_used_well("peak", fleet, config, load);
        }
    }
}

/// A few routers share an engine's slots without a count.
Test(saturated_engines, few_routers_use_the_room_too)
{
    for (const double load : {1.5, 3.0})
    {
        const auto config = engines_of_12_slots(7);
        saturated_fleet fleet(config, {request_class{}});
        expect_room_is_used_well("few routers", fleet, config, load);
    }
}

/// Deferred requests took the room that urgent ones needed, since routers knew
/// only the order of their own requests.
Test(saturated_engines, urgent_requests_go_first_over_all_routers)
{
    for (const std::size_t routers : {84, 300})
    {
        const auto config = engines_of_12_slots(routers);
        constexpr double load = 1.5;
        constexpr double urgent_share = 0.6; // 0.9 of the room
        const request_class urgent{
            .share = urgent_share, .rank = 0, .time_limit = 5s};
        const request_class deferred{
            .share = 1 - urgent_share,
            .rank = 2,
            .objective = 8s,
            .time_limit = 25s};
        saturated_fleet fleet(config, {urgent, deferred});
        fleet.send(learning_time, load * fleet.capacity());
        fleet.restart_counts();
        fleet.send(peak_length, load * fleet.capacity());
        // The requests that wait at the end of the peak are served or refused.
        constexpr double nearly_idle = 0.01;
        fleet.send(deferred.time_limit, nearly_idle * fleet.capacity());
        const auto served = [](const request_class& one)
        {
            return static_cast<double>(one.answered) /
                   static_cast<double>(one.sent);
        };
        const double of_urgent = served(fleet.class_at(0));
        const double of_deferred = served(fleet.class_at(1));
        std::printf(
            "ranks, %zu routers: %.3f of the urgent requests answered, %.3f "
            "of the deferred ones\n",
            routers,
            of_urgent,
            of_deferred);
        constexpr double required_urgent = 0.95;
        constexpr double required_ratio = 0.25;
        cr_expect_geq(of_urgent, required_urgent);
        cr_expect_geq(of_deferred, required_ratio * of_urgent);
    }
}

/// Routers that restart know neither the load of the engines nor each other's
/// requests.
Test(saturated_engines, the_room_is_used_when_all_routers_restart)
{
    constexpr double load = 2;
    const auto config = engines_of_12_slots(84);
    saturated_fleet fleet(config, {request_class{}});
    fleet.send(learning_time, load * fleet.capacity());
    for (std::size_t i = 0; i < config.routers; ++i)
        fleet.restart(i);
    expect_room_is_used_well("all restarted", fleet, config, load);
}
