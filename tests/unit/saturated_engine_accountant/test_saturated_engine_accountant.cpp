#include "saturated_run.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

/// The count of the requests at an engine was lost with its accountant.
Test(saturated_engine_accountant, the_room_is_kept_when_an_accountant_fails)
{
    constexpr double load = 2;
    const auto config = engines_of_12_slots(84);
    {
        saturated_fleet fleet(config, {request_class{}});
        expect_room_is_used_well(
            "accountant killed",
            fleet,
            config,
            load,
            [&fleet]
            {
                fleet.restart(0);
            });
    }
    {
        saturated_fleet fleet(config, {request_class{}});
        expect_room_is_used_well(
            "accountant frozen",
            fleet,
            config,
            load,
            [&fleet]
            {
                fleet.freeze(0, 3s);
            });
    }
    {
        saturated_fleet fleet(config, {request_class{}});
        expect_room_is_used_well(
            "answers of the accountant lost",
            fleet,
            config,
            load,
            [&fleet]
            {
                fleet.reaches = [](std::size_t from, std::size_t)
                {
                    return from != 0;
                };
            });
    }
}
