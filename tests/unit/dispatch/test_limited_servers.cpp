#include "harness.hpp"

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// A model of one engine that takes two requests a second.
struct lone_engine : harness
{
    lone_engine()
    {
        this->model("m", 1, 1, 8);
        this->limit(1, 2);
    }
};

/// A model of two engines, of which the first is limited.
struct two_engines : harness
{
    two_engines()
    {
        this->model("m", 1, 2, 8);
        this->limit(1, 2);
    }
};

request_info with_patience(const harness& test, duration patience)
{
    request_info made = test.info();
    made.deadline = test.now + patience;
    return made;
}

} // namespace

Test(limited_servers, a_request_waits_for_a_permit_where_there_is_no_other)
{
    lone_engine test;
    const ticket id = test.submit();
    cr_assert_not(test.granted(id));
    cr_assert_eq(test.permits.size(), 1U);
    cr_assert(test.permits.front().waits);
    cr_assert_eq(test.permits.front().server.engine, engine_id(1));
    test.allow(1);
    cr_assert(test.granted(id));
}

Test(limited_servers, one_request_is_sent_under_a_permit)
{
    lone_engine test;
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.allow(1);
    cr_assert(test.granted(first));
    cr_assert_not(test.granted(second));
    cr_assert_eq(test.permits.size(), 2U);
    test.allow(1);
    cr_assert(test.granted(second));
}

Test(limited_servers, a_permit_that_counts_later_is_waited_for)
{
    lone_engine test;
    const ticket id = test.submit();
    test.allow(1, 200ms);
    test.tick(199ms);
    cr_assert_not(test.granted(id));
    cr_assert(test.core.next_tick().has_value());
    cr_assert_leq(*test.core.next_tick(), test.now + 1ms);
    test.tick(1ms);
    cr_assert(test.granted(id));
}

Test(limited_servers, a_refused_permit_is_asked_for_again_when_it_is_time)
{
    lone_engine test;
    test.submit();
    test.deny(1, 300ms);
    test.tick(299ms);
    cr_assert_eq(test.permits.size(), 1U);
    test.tick(1ms);
    cr_assert_eq(test.permits.size(), 2U);
}

Test(limited_servers, an_ask_that_is_never_answered_is_made_again)
{
    lone_engine test;
    test.submit();
    test.tick(999ms);
    cr_assert_eq(test.permits.size(), 1U);
    test.tick(1ms);
    cr_assert_eq(test.permits.size(), 2U);
}

Test(limited_servers, a_request_goes_to_another_server_without_a_permit)
{
    two_engines test;
    const ticket id = test.submit();
    cr_assert_eq(test.permits.size(), 1U);
    cr_assert_not(test.permits.front().waits);
    test.deny(1, 300ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, a_request_does_not_wait_long_for_the_answer_to_an_ask)
{
    two_engines test;
    const ticket id = test.submit();
    cr_assert_not(test.granted(id));
    test.tick(30ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, a_permit_at_hand_is_used)
{
    two_engines test;
    const ticket id = test.submit();
    test.allow(1);
    cr_assert_eq(test.engine(id), 1U);
}

Test(limited_servers, while_an_ask_is_out_others_go_elsewhere_at_once)
{
    two_engines test;
    test.submit();
    const ticket second = test.submit();
    cr_assert_eq(test.engine(second), 2U);
    cr_assert_eq(test.permits.size(), 1U);
}

Test(limited_servers, a_permit_that_was_taken_back_lets_nothing_through)
{
    two_engines test;
    test.allow(1);
    cr_assert(test.core.permit_withdrawn({engine_id(1), {}}));
    cr_assert_not(test.core.permit_withdrawn({engine_id(1), {}}));
    const ticket id = test.submit();
    test.deny(1, 300ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, a_request_that_its_turn_comes_too_late_for_is_refused)
{
    lone_engine test;
    const ticket first = test.submit(with_patience(test, 1s));
    const ticket second = test.submit(with_patience(test, 1s));
    const ticket last = test.submit(with_patience(test, 1s));
    cr_assert_eq(test.refused(first), refusal_reason::none);
    cr_assert_eq(test.refused(second), refusal_reason::none);
    cr_assert_eq(test.refused(last), refusal_reason::deadline);
    const duration retry = test.refusals.at(last).front().retry_after;
    cr_assert_geq(retry, duration(1s));
}

/// Turns of this router among others are longer than the limit says.
Test(limited_servers, how_long_a_turn_takes_is_observed)
{
    lone_engine test;
    for (int i = 0; i < 6; ++i)
    {
        test.submit();
        for (int denied = 0; denied < 4; ++denied)
        {
            test.deny(1, 500ms);
            test.tick(500ms);
        }
        test.allow(1);
    }
    const ticket last = test.submit(with_patience(test, 1500ms));
    cr_assert_eq(test.refused(last), refusal_reason::deadline);
}

Test(limited_servers, the_end_of_the_limit_lets_all_through)
{
    lone_engine test;
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.limit(1, 0);
    cr_assert(test.granted(first));
    cr_assert(test.granted(second));
    cr_assert(test.granted(test.submit()));
}

Test(limited_servers, a_retry_takes_a_permit_too)
{
    lone_engine test;
    const ticket id = test.submit();
    test.allow(1);
    test.finish(id, attempt_result::end::refused_not_run);
    cr_assert_eq(test.grants.at(id).size(), 1U);
    cr_assert_eq(test.permits.size(), 2U);
    test.allow(1);
    cr_assert_eq(test.grants.at(id).size(), 2U);
}

Test(limited_servers, another_engine_is_wanted_for_what_waits)
{
    lone_engine test;
    test.submit();
    test.tick(60ms);
    cr_assert_not(test.demands.empty());
    cr_assert_eq(test.demands.back().target, "m");
}

namespace
{

/// Two models on one limited engine, of which `m` was asked for first.
struct two_models : lone_engine
{
    two_models()
    {
        this->model("rare", 2, 1, 8);
    }

    ticket submit_rare(duration patience)
    {
        request_info info = with_patience(*this, patience);
        info.target = "rare";
        return this->submit(std::move(info));
    }
};

} // namespace

/// A model that is asked for all the time took each permit before.
Test(limited_servers, a_permit_goes_to_whose_deadline_is_nearest)
{
    two_models test;
    const ticket busy = test.submit(with_patience(test, 10s));
    const ticket rare = test.submit_rare(5s);
    test.allow(1);
    cr_assert(test.granted(rare));
    cr_assert_not(test.granted(busy));
}

Test(limited_servers, requests_of_other_models_there_are_waited_for_too)
{
    two_models test;
    for (int i = 0; i < 8; ++i)
        test.submit(with_patience(test, 10s));
    const ticket rare = test.submit_rare(2s);
    cr_assert_eq(test.refused(rare), refusal_reason::deadline);
}
