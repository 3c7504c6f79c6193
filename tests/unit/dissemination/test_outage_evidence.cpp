#include "core/dissemination/outage_evidence.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

const instant start{std::chrono::seconds(100)};

/// Answers of the store each 500 ms up to `start`.
outage_evidence make_evidence()
{
    outage_evidence made(2s);
    for (duration before = 5s; before >= duration::zero(); before -= 500ms)
        made.answered_at(start - before);
    return made;
}

} // namespace

Test(outage_evidence, without_any_answer_an_outage_is_possible)
{
    cr_assert(outage_evidence(2s).may_have_been_out(start));
}

Test(outage_evidence, a_store_that_has_just_answered_was_not_out)
{
    const outage_evidence known = make_evidence();
    cr_assert_not(known.may_have_been_out(start));
    cr_assert_not(known.may_have_been_out(start + 1900ms));
    cr_assert_not(known.may_have_been_out(start - 1s));
}

Test(outage_evidence, without_an_answer_for_long_the_store_may_have_been_out)
{
    cr_assert(make_evidence().may_have_been_out(start + 2s));
}

Test(outage_evidence, a_past_outage_is_remembered)
{
    outage_evidence known = make_evidence();
    known.answered_at(start + 3s);
    known.answered_at(start + 4s);
    cr_assert(known.may_have_been_out(start + 2s));
    cr_assert(known.may_have_been_out(start + 3100ms));
    cr_assert_not(known.may_have_been_out(start));
    cr_assert_not(known.may_have_been_out(start + 5100ms));
}

Test(outage_evidence, an_older_answer_changes_nothing)
{
    outage_evidence known = make_evidence();
    known.answered_at(start - 10s);
    cr_assert_not(known.may_have_been_out(start));
}

Test(outage_evidence, answers_of_another_router_refute_an_outage)
{
    outage_evidence known = make_evidence();
    known.answered_at(start + 4s);
    cr_assert(known.may_have_been_out(start + 4s));
    cr_assert_not(known.answered_between(start + 1s, start + 4s));
    cr_assert_not(known.answered_between(start - 1s, start + 3s));
    cr_assert(known.may_have_been_out(start + 4s));
    cr_assert(known.answered_between(start - 1s, start + 4s));
    cr_assert_not(known.may_have_been_out(start + 4s));
    cr_assert_eq(known.answered_for(start + 5s), 6s);
}

Test(outage_evidence, answers_of_another_router_come_before_ones_own)
{
    outage_evidence known = make_evidence();
    known.answered_between(start - 1s, start + 4s);
    known.answered_at(start + 4s);
    cr_assert_not(known.may_have_been_out(start + 4s));
}

/// A router that starts just after the machine's clock knows nothing of earlier
/// times.
Test(outage_evidence, the_first_answer_speaks_for_no_earlier_time)
{
    outage_evidence known(2s);
    const instant just_booted{std::chrono::seconds(1)};
    known.answered_at(just_booted);
    cr_assert_eq(known.answered_for(just_booted + 100ms), 100ms);
    cr_assert(known.may_have_been_out(just_booted + 100ms));
}
