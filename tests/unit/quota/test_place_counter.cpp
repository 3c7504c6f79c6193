#include "core/quota/place_counter.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

using outcome = place_counter::outcome;

const instant start(100s);

place_usage usage(
    std::uint32_t held, std::uint64_t pending = 0, std::uint32_t rejections = 0)
{
    return {"places", held, pending, rejections, 0};
}

/// Lets routers take places until none is left.
/// @return How many were granted.
int take_all(place_counter& places, instant now, int first_router = 0)
{
    int granted = 0;
    for (int i = first_router; i < first_router + 20; ++i)
    {
        const std::string router = "r" + std::to_string(i);
        const auto id = static_cast<std::uint64_t>(i + 1);
        places.report(router, usage(0, id), now);
        granted += places.draw(router, id, 0s, now) == outcome::granted ? 1 : 0;
    }
    return granted;
}

} // namespace

Test(place_counter, as_many_places_are_granted_as_the_server_has_slots)
{
    place_counter places(6);
    cr_assert_eq(take_all(places, start), 6);
}

Test(place_counter, a_place_that_is_given_up_goes_to_the_first_that_waits)
{
    place_counter places(1);
    places.report("a", usage(0, 1), start);
    cr_assert(places.draw("a", 1, 1s, start) == outcome::granted);
    places.report("b", usage(0, 2), start);
    cr_assert(places.draw("b", 2, 1s, start) == outcome::queued);
    places.report("c", usage(0, 3), start);
    cr_assert(places.draw("c", 3, 1s, start) == outcome::queued);
    places.report("a", usage(1), start);
    cr_assert(places.grant_waiting(start).empty());
    places.report("a", usage(0), start);
    const auto granted = places.grant_waiting(start);
    cr_assert_eq(granted.size(), 1);
    cr_assert_eq(granted.front().router, "b");
    cr_assert_eq(granted.front().draw, 2);
}

/// A place that was granted to a router that had cancelled its draw, or was
/// restarted, must not be lost.
Test(place_counter, a_grant_that_its_router_does_not_want_is_free_again)
{
    place_counter places(1);
    places.report("a", usage(0, 1), start);
    cr_assert(places.draw("a", 1, 1s, start) == outcome::granted);
    places.report("a", usage(0), start + 5ms);
    places.report("b", usage(0, 2), start + 5ms);
    cr_assert(places.draw("b", 2, 1s, start + 5ms) == outcome::granted);
    // Its router never answers.
    places.tick(start + 600ms);
    places.report("c", usage(0, 3), start + 600ms);
    cr_assert(places.draw("c", 3, 1s, start + 600ms) == outcome::granted);
}

Test(place_counter, a_cancelled_draw_gets_no_place)
{
    place_counter places(1);
    places.report("a", usage(1), start);
    places.report("b", usage(0, 2), start);
    cr_assert(places.draw("b", 2, 1s, start) == outcome::queued);
    places.report("b", usage(0), start);
    places.report("a", usage(0), start);
    cr_assert(places.grant_waiting(start).empty());
    cr_assert_eq(places.held(), 0);
}

Test(place_counter, a_rejection_lowers_the_places_to_what_the_others_hold)
{
    place_counter places(6);
    places.report("a", usage(3), start);
    places.report("b", usage(1), start);
    places.report("b", usage(0, 0, 1), start);
    cr_assert_eq(places.places(), 3);
    // The same rejection, reported again, changes nothing.
    places.report("b", usage(0, 0, 1), start + 1ms);
    cr_assert_eq(places.places(), 3);
}

Test(place_counter, the_places_grow_slowly_while_requests_wait)
{
    place_counter places(6);
    places.report("a", usage(2), start);
    places.report("b", usage(0, 0, 1), start);
    cr_assert_eq(places.places(), 2);
    instant now = start;
    const auto pass = [&](duration length)
    {
        for (const instant end = now + length; now < end; now += 20ms)
        {
            take_all(places, now);
            places.tick(now);
        }
    };
    pass(1s);
    cr_assert_eq(places.places(), 2);
    pass(3s);
    cr_assert_eq(places.places(), 5); // one fewer than led to the rejection
    pass(3s);
    cr_assert_eq(places.places(), 6);
}

Test(place_counter, places_of_routers_that_are_gone_are_free)
{
    place_counter places(2);
    places.report("a", usage(2), start);
    cr_assert_eq(take_all(places, start, 1), 0);
    places.keep_routers(
        [](std::string_view router)
        {
            return router != "a";
        });
    cr_assert_eq(places.held(), 0);
    cr_assert_eq(take_all(places, start, 1), 2);
}

Test(place_counter, two_accountants_share_the_places)
{
    place_counter one(6);
    place_counter other(6);
    one.set_share(0.5);
    other.set_share(0.5);
    cr_assert_eq(take_all(one, start) + take_all(other, start), 6);
    // A few absent routers cost no place.
    one.set_share(0.97);
    cr_assert_eq(one.places(), 6);
    one.set_share(0);
    cr_assert_eq(one.places(), 0);
}

/// A deferred request took the place that an urgent one of another router
/// waited for.
Test(place_counter, grants_by_rank_and_reachable_objective)
{
    place_counter places(1);
    places.report("holder", usage(0, 1), start);
    cr_assert(places.draw("holder", 1, 0s, start) == outcome::granted);
    const auto draw = [&](const char* router,
                          std::uint64_t id,
                          std::uint8_t rank,
                          std::int64_t objective_in_us)
    {
        places.report(router, usage(0, id), start);
        const draw_order order{id, rank, objective_in_us, 0};
        cr_assert(
            places.draw(router, id, 10s, start, order) == outcome::queued);
    };
    draw("deferred", 2, 2, 8'000'000);
    draw("missed", 3, 1, 1'000);
    draw("later", 4, 1, 300'000);
    draw("soon", 5, 1, 200'000);
    const std::uint64_t expected[] = {5, 4, 3, 2};
    std::uint64_t holder = 1;
    const char* names[] = {"", "holder", "deferred", "missed", "later", "soon"};
    instant now = start + 10ms;
    for (const std::uint64_t id : expected)
    {
        places.report(names[holder], usage(0), now);
        const auto granted = places.grant_waiting(now);
        cr_assert_eq(granted.size(), 1);
        cr_expect_eq(granted.front().draw, id);
        holder = id;
    }
}
