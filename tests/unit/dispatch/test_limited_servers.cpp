#include "harness.hpp"

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

/// A model on one engine that is limited to two requests per second.
struct single_engine : harness
{
    single_engine()
    {
        this->model("m", 1, 1, 8);
        this->limit(1, 2);
    }
};

/// A model on two engines. The first is limited to two requests per second.
struct two_engines : harness
{
    two_engines()
    {
        this->model("m", 1, 2, 8);
        this->limit(1, 2);
    }
};

request_info with_timeout(const harness& test, duration timeout)
{
    request_info made = test.info();
    made.deadline = test.now + timeout;
    return made;
}

} // namespace

Test(limited_servers, a_request_waits_for_a_permit_without_another_server)
{
    single_engine test;
    const ticket id = test.submit();
    cr_assert_not(test.granted(id));
    cr_assert_eq(test.permits.size(), 1U);
    cr_assert(test.permits.front().waits);
    cr_assert_eq(test.permits.front().server.engine, engine_id(1));
    test.allow(1);
    cr_assert(test.granted(id));
}

Test(limited_servers, one_request_is_sent_per_permit)
{
    single_engine test;
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.allow(1);
    cr_assert(test.granted(first));
    cr_assert_not(test.granted(second));
    cr_assert_eq(test.permits.size(), 2U);
    test.allow(1);
    cr_assert(test.granted(second));
}

Test(limited_servers, a_request_waits_until_its_permit_is_valid)
{
    single_engine test;
    const ticket id = test.submit();
    test.allow(1, 200ms);
    test.tick(199ms);
    cr_assert_not(test.granted(id));
    cr_assert(test.core.next_tick().has_value());
    cr_assert_leq(*test.core.next_tick(), test.now + 1ms);
    test.tick(1ms);
    cr_assert(test.granted(id));
}

Test(limited_servers, a_refused_permit_is_requested_again_after_the_delay)
{
    single_engine test;
    test.submit();
    test.deny(1, 300ms);
    test.tick(299ms);
    cr_assert_eq(test.permits.size(), 1U);
    test.tick(1ms);
    cr_assert_eq(test.permits.size(), 2U);
}

Test(limited_servers, an_unanswered_permit_request_is_repeated)
{
    single_engine test;
    test.submit();
    test.tick(999ms);
    cr_assert_eq(test.permits.size(), 1U);
    test.tick(1ms);
    cr_assert_eq(test.permits.size(), 2U);
}

Test(limited_servers, a_request_without_a_permit_goes_to_another_server)
{
    two_engines test;
    const ticket id = test.submit();
    cr_assert_eq(test.permits.size(), 1U);
    cr_assert_not(test.permits.front().waits);
    test.deny(1, 300ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, the_wait_for_a_permit_answer_is_bounded)
{
    two_engines test;
    const ticket id = test.submit();
    cr_assert_not(test.granted(id));
    test.tick(30ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, an_available_permit_is_used)
{
    two_engines test;
    const ticket id = test.submit();
    test.allow(1);
    cr_assert_eq(test.engine(id), 1U);
}

Test(limited_servers, only_one_request_waits_for_a_permit_answer)
{
    two_engines test;
    test.submit();
    const ticket second = test.submit();
    cr_assert_eq(test.engine(second), 2U);
    cr_assert_eq(test.permits.size(), 1U);
}

Test(limited_servers, a_withdrawn_permit_is_not_used)
{
    two_engines test;
    test.allow(1);
    cr_assert(test.core.permit_withdrawn({engine_id(1), {}}));
    cr_assert_not(test.core.permit_withdrawn({engine_id(1), {}}));
    const ticket id = test.submit();
    test.deny(1, 300ms);
    cr_assert_eq(test.engine(id), 2U);
}

Test(limited_servers, a_request_whose_permit_would_come_too_late_is_refused)
{
    single_engine test;
    const ticket first = test.submit(with_timeout(test, 1s));
    const ticket second = test.submit(with_timeout(test, 1s));
    const ticket last = test.submit(with_timeout(test, 1s));
    cr_assert_eq(test.refused(first), refusal_reason::none);
    cr_assert_eq(test.refused(second), refusal_reason::none);
    cr_assert_eq(test.refused(last), refusal_reason::deadline);
    const duration retry = test.refusals.at(last).front().retry_after;
    cr_assert_geq(retry, duration(1s));
}

/// Other routers use permits as well, so this router waits longer for one than
/// the limit implies.
Test(limited_servers, the_time_between_permits_is_measured)
{
    single_engine test;
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
    const ticket last = test.submit(with_timeout(test, 1500ms));
    cr_assert_eq(test.refused(last), refusal_reason::deadline);
}

Test(limited_servers, the_end_of_the_limit_starts_all_requests)
{
    single_engine test;
    const ticket first = test.submit();
    const ticket second = test.submit();
    test.limit(1, 0);
    cr_assert(test.granted(first));
    cr_assert(test.granted(second));
    cr_assert(test.granted(test.submit()));
}

Test(limited_servers, a_retry_needs_a_permit)
{
    single_engine test;
    const ticket id = test.submit();
    test.allow(1);
    test.finish(id, attempt_result::end::refused_not_run);
    cr_assert_eq(test.grants.at(id).size(), 1U);
    cr_assert_eq(test.permits.size(), 2U);
    test.allow(1);
    cr_assert_eq(test.grants.at(id).size(), 2U);
}

Test(limited_servers, waiting_requests_cause_demand_for_another_engine)
{
    single_engine test;
    test.submit();
    test.tick(60ms);
    cr_assert_not(test.demands.empty());
    cr_assert_eq(test.demands.back().target, "m");
}

namespace
{

/// Two models on one limited engine. `m` receives requests first.
struct two_models : single_engine
{
    two_models()
    {
        this->model("rare", 2, 1, 8);
    }

    ticket submit_rare(duration timeout)
    {
        request_info info = with_timeout(*this, timeout);
        info.target = "rare";
        return this->submit(std::move(info));
    }
};

} // namespace

/// Guards against a busy model that takes all permits of an engine, so that
/// requests of other models there never start.
Test(limited_servers, a_permit_goes_to_the_earliest_deadline)
{
    two_models test;
    const ticket busy = test.submit(with_timeout(test, 10s));
    const ticket rare = test.submit_rare(5s);
    test.allow(1);
    cr_assert(test.granted(rare));
    cr_assert_not(test.granted(busy));
}

Test(limited_servers, the_predicted_wait_includes_other_models_of_the_server)
{
    two_models test;
    for (int i = 0; i < 8; ++i)
        test.submit(with_timeout(test, 10s));
    const ticket rare = test.submit_rare(2s);
    cr_assert_eq(test.refused(rare), refusal_reason::deadline);
}
