#include "core/crashes/request_gate.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

using gate_outcome = request_gate::outcome;

constexpr fingerprint bad(7);
constexpr instant start(100s);

/// A gate that begins trials at the end of a block.
request_gate make_gate()
{
    return request_gate({.trial_spread = 0s});
}

blocked_requests blocked_for(duration length)
{
    blocked_requests known;
    known.blocked_until[bad] = start + length;
    known.suspects.insert(bad);
    return known;
}

} // namespace

Test(request_gate, a_blocked_request_is_refused_until_the_block_ends)
{
    request_gate gate = make_gate();
    const blocked_requests known = blocked_for(5s);
    const auto decision = gate.admit(known, bad, start + 2s);
    cr_assert_eq(decision.result, gate_outcome::refused);
    cr_assert_eq(decision.retry_after, 3s);
    const auto unknown = gate.admit(known, fingerprint(8), start + 2s);
    cr_assert_eq(unknown.result, gate_outcome::allowed);
}

Test(request_gate, one_request_is_a_trial_after_the_block)
{
    request_gate gate = make_gate();
    const blocked_requests known = blocked_for(5s);
    cr_assert_eq(
        gate.admit(known, bad, start + 6s).result, gate_outcome::trial);
    const auto second = gate.admit(known, bad, start + 7s);
    cr_assert_eq(second.result, gate_outcome::refused);
    cr_assert_eq(second.retry_after, 9s);
    cr_assert_eq(
        gate.admit(known, bad, start + 16s).result, gate_outcome::trial);
}

Test(request_gate, a_content_that_has_just_run_well_is_not_blocked)
{
    request_gate gate = make_gate();
    const blocked_requests known = blocked_for(60s);
    gate.answered(bad, start);
    cr_assert_eq(
        gate.admit(known, bad, start + 9s).result, gate_outcome::harmless);
    cr_assert_eq(gate.refused_for(known, bad, start + 9s), 0s);
    cr_assert_eq(
        gate.admit(known, bad, start + 11s).result, gate_outcome::refused);
}

Test(request_gate, a_trial_that_ran_well_ends_the_wait_of_the_others)
{
    request_gate gate = make_gate();
    const blocked_requests known = blocked_for(5s);
    gate.admit(known, bad, start + 6s);
    gate.answered(bad, start + 7s);
    cr_assert_eq(
        gate.admit(known, bad, start + 8s).result, gate_outcome::harmless);
}

Test(request_gate, routers_begin_trials_at_different_times)
{
    const blocked_requests known = blocked_for(5s);
    request_gate one({.seed = 1});
    request_gate other({.seed = 2});
    const duration first = one.refused_for(known, bad, start + 5s);
    const duration second = other.refused_for(known, bad, start + 5s);
    cr_assert_neq(first, second);
    cr_assert_leq(std::max(first, second), 5s);
}
