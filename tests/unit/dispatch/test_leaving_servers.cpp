#include "harness.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::testing;

namespace
{

constexpr server_place first_server{engine_id(1), {}};

} // namespace

Test(leaving_servers, a_granted_request_may_not_be_sent_to_a_leaving_server)
{
    harness test;
    test.model("m", 1, 1);
    cr_assert(test.core.takes_requests(first_server, "vm1", test.now));
    test.core.vm_leaving("vm1", true, test.now);
    cr_assert_not(test.core.takes_requests(first_server, "vm1", test.now));
    cr_assert(test.core.takes_requests(first_server, "vm2", test.now));
    test.core.vm_leaving("vm1", false, test.now);
    cr_assert(test.core.takes_requests(first_server, "vm1", test.now));
}

/// Nothing was sent, so the attempt counts neither as a retry nor as a failure.
Test(leaving_servers, a_withheld_request_runs_on_another_server)
{
    harness test;
    test.model("m", 1, 2);
    const ticket request = test.submit();
    test.collect();
    const grant first = test.grants.at(request).back();
    test.core.vm_leaving(
        first.engine == engine_id(1) ? "vm1" : "vm2", true, test.now);
    attempt_result withheld;
    withheld.how = attempt_result::end::withheld;
    constexpr int more_than_attempts = 10;
    for (int i = 0; i < more_than_attempts; ++i)
    {
        const auto outcome = test.core.finished(request, withheld, test.now);
        cr_assert_not(outcome.final_answer);
        cr_assert_eq(outcome.outcome, verdict::not_run);
        test.collect();
        cr_assert_neq(test.grants.at(request).back().engine, first.engine);
    }
}
