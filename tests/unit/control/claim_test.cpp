#include "fleet_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::test;
using namespace std::chrono_literals;

namespace
{

using status = claim_result::status;

constexpr claim_key key{7, 9};

void claim_at(fake_fleet& fleet, std::size_t router)
{
    fleet.at(router).control->claim({key}, fleet.now());
    fleet.run(100ms);
}

claim_result last_claim(fake_fleet& fleet, std::size_t router)
{
    cr_assert_not(fleet.at(router).claims.empty(), "no answer");
    return fleet.at(router).claims.back();
}

} // namespace

Test(claim, the_first_of_two_routers_wins_and_the_other_hears_its_result)
{
    fake_fleet fleet;
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.at(0).control->claim({key}, fleet.now());
    fleet.at(1).control->claim({key}, fleet.now());
    fleet.run(1s);
    const bool first = last_claim(fleet, 0).result == status::granted;
    const std::size_t winner = first ? 0 : 1;
    cr_expect(last_claim(fleet, winner).result == status::granted);
    cr_expect(last_claim(fleet, 1 - winner).result == status::held);
    cr_expect(last_claim(fleet, 1 - winner).outcome == claim_outcome::open);

    claim_close close;
    close.key = key;
    close.outcome = claim_outcome::answered;
    close.status = 201;
    close.body = "sent";
    fleet.at(winner).control->close_claim(close, fleet.now());
    fleet.run(1s);
    claim_at(fleet, 1 - winner);
    cr_expect(last_claim(fleet, 1 - winner).result == status::held);
    cr_expect(last_claim(fleet, 1 - winner).outcome == claim_outcome::answered);
    cr_expect_eq(last_claim(fleet, 1 - winner).http_status, 201);
    cr_expect(last_claim(fleet, 1 - winner).body == "sent");
}

Test(claim, a_loser_hears_for_which_content_the_key_is_held)
{
    fake_fleet fleet;
    add_routers(fleet, 2);
    fleet.run(3s);
    fleet.at(0).control->claim({key, 5}, fleet.now());
    fleet.at(0).control->claim({key, 6}, fleet.now());
    fleet.run(1s);
    fleet.at(1).control->claim({key, 6}, fleet.now());
    fleet.run(1s);
    const auto& here = fleet.at(0).claims;
    cr_assert_eq(here.size(), 2);
    cr_expect(here[0].result == status::held);
    cr_expect_eq(here[0].content, 5);
    cr_expect(here[1].result == status::granted);
    cr_expect(last_claim(fleet, 1).result == status::held);
    cr_expect_eq(last_claim(fleet, 1).content, 5);
}

Test(claim, of_an_old_key_is_expired)
{
    fake_fleet fleet;
    add_routers(fleet, 1);
    fleet.run(3s);
    fleet.at(0).control->claim({key, 5, 1}, fleet.now());
    fleet.run(1s);
    cr_expect(last_claim(fleet, 0).result == status::expired);
    claim_at(fleet, 0);
    cr_expect(last_claim(fleet, 0).result == status::granted);
}

Test(claim, a_second_claim_here_is_held_at_once)
{
    fake_fleet fleet;
    add_routers(fleet, 1);
    fleet.run(3s);
    fleet.at(0).control->claim({key}, fleet.now());
    fleet.at(0).control->claim({key}, fleet.now());
    fleet.run(1s);
    cr_assert_eq(fleet.at(0).claims.size(), 2);
    cr_expect(fleet.at(0).claims[0].result == status::held);
    cr_expect(fleet.at(0).claims[1].result == status::granted);
}

Test(claim, without_the_log_it_is_unavailable_and_never_appended)
{
    fake_fleet fleet;
    add_routers(fleet, 1);
    fleet.run(3s);
    fleet.log_down = true;
    fleet.run(10s);
    claim_at(fleet, 0);
    cr_expect(last_claim(fleet, 0).result == status::unavailable);
    fleet.log_down = false;
    fleet.run(20s);
    cr_expect_not(fleet.oracle().claim(key).has_value());
    claim_at(fleet, 0);
    cr_expect(last_claim(fleet, 0).result == status::granted);
}

Test(claim, one_that_timed_out_and_is_folded_late_is_closed_as_not_run)
{
    controller::options settings;
    settings.append_retry_max = 500ms;
    fake_fleet fleet(settings);
    add_routers(fleet, 2);
    fleet.run(3s);
    std::size_t opened = 0;
    std::size_t closed_not_run = 0;
    fleet.on_record = [&](const record& value, const fold_result&)
    {
        opened += std::holds_alternative<claim_open>(value.payload) ? 1 : 0;
        const auto* close = std::get_if<claim_close>(&value.payload);
        closed_not_run +=
            close != nullptr && close->outcome == claim_outcome::not_run ? 1
                                                                         : 0;
    };
    // The append is on its way when the log goes down for long.
    fleet.at(0).control->claim({key}, fleet.now());
    fleet.log_down = true;
    fleet.run(10s);
    cr_expect(last_claim(fleet, 0).result == status::unavailable);
    cr_expect_eq(opened, 0);
    claim_at(fleet, 0);
    cr_expect(last_claim(fleet, 0).result == status::unavailable);

    fleet.log_down = false;
    cr_assert(fleet.run_until(
        [&]
        {
            return closed_not_run == 1;
        },
        20s));
    cr_expect_geq(opened, 1);
    fleet.run(1s);
    claim_at(fleet, 1);
    cr_expect(last_claim(fleet, 1).result == status::granted);
}
