#include "fold_log.hpp"

#include <algorithm>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

constexpr claim_key key{1, 2};
constexpr fingerprint request(77);

claim_close
closing(session_id session, claim_outcome outcome, std::string body = "")
{
    return {key, session, outcome, 200, std::move(body)};
}

} // namespace

Test(claim, the_first_wins)
{
    fold_log log;
    const session_id one = log.join(2);
    const session_id two = log.join(3);
    cr_assert(accepted(log.put(claim_open{key, one})));
    const log_offset opened = log.at;
    for (const session_id session : {one, two})
    {
        const auto late = log.put(claim_open{key, session});
        cr_assert(rejected(late, reject_reason::claim_held));
        cr_assert(late.winner == opened);
    }
    cr_assert(log.state.claim(key)->session == one);
    cr_assert(rejected(
        log.put(claim_open{claim_key{3, 4}, session_id(99)}),
        reject_reason::session_ended));
}

Test(claim, is_closed_once_and_by_its_opener)
{
    fold_log log;
    const session_id one = log.join(2);
    const session_id two = log.join(3);
    const auto answered = claim_outcome::answered;
    cr_assert(rejected(
        log.put(closing(one, answered)), reject_reason::unknown_entity));
    log.put(claim_open{key, one});
    cr_assert(
        rejected(log.put(closing(two, answered)), reject_reason::not_holder));
    cr_assert(rejected(
        log.put(closing(one, claim_outcome::open)),
        reject_reason::illegal_transition));
    cr_assert(accepted(log.put(closing(one, answered, "done"))));
    cr_assert(rejected(
        log.put(closing(one, claim_outcome::not_run)),
        reject_reason::illegal_transition));
    const auto view = log.state.claim(key);
    cr_assert(view->outcome == answered);
    cr_assert_eq(view->body, "done");
    cr_assert_eq(view->status, 200);
    cr_assert(
        rejected(log.put(claim_open{key, two}), reject_reason::claim_held));
}

Test(claim, that_did_not_run_frees_the_key)
{
    fold_log log;
    const session_id one = log.join(2);
    log.put(claim_open{key, one});
    cr_assert(accepted(log.put(closing(one, claim_outcome::not_run))));
    cr_assert(!log.state.claim(key));
    cr_assert(accepted(log.put(claim_open{key, log.join(3)})));
}

Test(claim, of_a_dead_session_may_have_run)
{
    fold_log log;
    policy_spec policy;
    policy.claim_horizon_ms = 86'400'000;
    log.put_policy(policy);
    const session_id one = log.join(2);
    log.put(claim_open{key, one});
    log.put(router_gone{one, "left the VM list"});
    cr_assert(log.state.claim(key)->outcome == claim_outcome::may_have_run);
    cr_assert(rejected(
        log.put(closing(one, claim_outcome::not_run)),
        reject_reason::session_ended));
    const session_id two = log.join(3);
    cr_assert(
        rejected(log.put(claim_open{key, two}), reject_reason::claim_held));
    log.pass(3 * 3'600'000);
    cr_assert(log.state.claim(key)->outcome == claim_outcome::may_have_run);
}

Test(claim, of_a_dead_session_is_forgotten_at_the_horizon)
{
    fold_log log;
    policy_spec policy;
    policy.claim_horizon_ms = 1000;
    log.put_policy(policy);
    const session_id one = log.join(2);
    log.put(claim_open{key, one});
    // A key that was freed and claimed anew counts from the later claim.
    log.pass(400);
    log.put(closing(one, claim_outcome::not_run));
    log.put(claim_open{key, one});
    log.put(router_gone{one, "left the VM list"});
    log.pass(999);
    cr_assert(log.state.claim(key));
    log.pass(1);
    cr_assert(!log.state.claim(key));
    cr_assert(accepted(log.put(claim_open{key, log.join(3)})));
}

Test(claim, that_is_open_outlives_the_horizon_with_its_session)
{
    fold_log log;
    policy_spec policy;
    policy.claim_horizon_ms = 60'000;
    log.put_policy(policy);
    const session_id one = log.join(2);
    log.put(claim_open{key, one});
    log.pass(600'000);
    cr_assert(rejected(
        log.put(claim_open{key, log.join(3)}), reject_reason::claim_held));
    // Half a horizon is left for retries after the end of a long call.
    log.put(closing(one, claim_outcome::answered));
    log.pass(30'000 - 1);
    cr_assert(log.state.claim(key)->outcome == claim_outcome::answered);
    log.pass(30'001 + 65'536);
    cr_assert(!log.state.claim(key));
}

Test(claim, closed_is_kept_for_the_horizon_and_dropped_with_its_bucket)
{
    constexpr stamp_ms horizon = 300'000;
    constexpr stamp_ms step = 10'000;
    constexpr std::uint64_t count = 200;
    fold_log log;
    policy_spec policy;
    policy.claim_horizon_ms = horizon;
    log.put_policy(policy);
    const session_id one = log.join(2);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const claim_key own{i * 0x9E3779B97F4A7C15ULL, i};
        cr_assert(accepted(log.put(claim_open{own, one, claim_content(i)})));
        const std::string body = i % 2 == 0 ? "sent" : "";
        log.put(claim_close{own, one, claim_outcome::answered, 201, body});
        log.pass(step);
        for (std::uint64_t k = 0; k <= i; ++k)
        {
            const stamp_ms age = stamp_ms(i + 1 - k) * step;
            const auto seen = log.state.claim({k * 0x9E3779B97F4A7C15ULL, k});
            cr_assert(age >= horizon || seen, "claim %llu", k + 0ULL);
            cr_assert(age < horizon + 65'536 + step || !seen);
            if (seen)
                cr_assert_eq(seen->content, k);
            if (seen)
                cr_assert_eq(seen->body, k % 2 == 0 ? "sent" : "");
        }
    }
    const auto again = fleet_state::restore(log.state.snapshot());
    cr_assert(again);
    cr_assert_eq(again->hash(), log.state.hash());
}

Test(claim, of_a_key_that_tells_its_time_never_runs_anew)
{
    constexpr stamp_ms horizon = 120'000;
    constexpr stamp_ms retry_every = 7000;
    for (const stamp_ms ahead : {-60'000, 0, 29'000, 31'000, 200'000})
    {
        fold_log log;
        policy_spec policy;
        policy.claim_horizon_ms = horizon;
        log.put_policy(policy);
        const session_id one = log.join(2);
        const stamp_ms issued = log.now + ahead;
        int runs = 0;
        for (stamp_ms age = 0; age < 4 * horizon; age += retry_every)
        {
            const auto result = log.put(claim_open{key, one, 1, issued});
            if (accepted(result))
            {
                ++runs;
                log.put(closing(one, claim_outcome::answered));
            }
            else if (age > horizon + 100'000 + std::max<stamp_ms>(0, ahead))
                cr_assert(rejected(result, reject_reason::claim_expired));
            log.pass(retry_every);
        }
        cr_assert_eq(runs, 1, "clock ahead by %lld", ahead + 0LL);
    }
}

Test(claim, claimed_anew_holds_up_no_other)
{
    fold_log log;
    policy_spec policy;
    policy.claim_horizon_ms = 1000;
    log.put_policy(policy);
    const session_id one = log.join(2);
    constexpr claim_key other{3, 4};
    log.put(claim_open{key, one});
    log.put(claim_open{other, one});
    log.pass(500);
    log.put(closing(one, claim_outcome::not_run));
    log.put(claim_open{key, one});
    log.put(router_gone{one, "left the VM list"});
    log.pass(500);
    cr_assert(!log.state.claim(other));
    cr_assert(log.state.claim(key));
}

Test(claim, keeps_small_answers_within_a_total)
{
    fold_log log;
    const session_id one = log.join(2);
    const auto answer = [&](std::uint64_t low, std::size_t size)
    {
        log.put(claim_open{claim_key{9, low}, one});
        log.put(claim_close{
            claim_key{9, low},
            one,
            claim_outcome::answered,
            200,
            std::string(size, 'x')});
        return log.state.claim(claim_key{9, low})->body.size();
    };
    cr_assert_eq(answer(0, 4096), 4096);
    cr_assert_eq(answer(1, 4097), 0, "never a part of an answer");
    for (std::uint64_t low = 2; low < 2 + 512; ++low)
        answer(low, 4096);
    const auto oldest = log.state.claim(claim_key{9, 0});
    cr_assert(oldest->body.empty());
    cr_assert(oldest->outcome == claim_outcome::answered);
    cr_assert_eq(log.state.claim(claim_key{9, 2})->body.size(), 4096);
}

Test(suspicion, blocks_at_the_threshold_for_a_time)
{
    fold_log log;
    log.put_fleet();
    policy_spec policy;
    policy.crash_threshold = 2;
    policy.crash_block_ms = 1000;
    log.put_policy(policy);
    const session_id session = log.join(2);
    const engine_id engine = log.state.find_engine("e");
    const request_suspect crash{request, engine, session};
    cr_assert(accepted(log.put(crash)));
    cr_assert_eq(log.state.recorded_crashes(request), 1);
    cr_assert(!log.state.blocked(request));
    cr_assert(
        log.put_record(log.records.back()).status == fold_status::duplicate);
    cr_assert(!log.state.blocked(request), "one crash, reported twice");
    log.pass(999);
    cr_assert(accepted(log.put(crash)));
    cr_assert(log.state.blocked(request));
    log.pass(999);
    cr_assert(log.state.blocked(request));
    log.pass(1);
    cr_assert(!log.state.blocked(request));
    cr_assert_eq(log.state.recorded_crashes(request), 0);
    cr_assert(
        log.state.changes().front().what ==
        state_change::kind::request_unblocked);
}

Test(suspicion, is_lifted_by_an_operator)
{
    fold_log log;
    const session_id session = log.join(2);
    cr_assert(rejected(
        log.put(request_unblock{request, "olga"}),
        reject_reason::unknown_entity));
    for (int i = 0; i < 2; ++i)
        log.put(request_suspect{request, {}, session});
    cr_assert(log.state.blocked(request));
    cr_assert(accepted(log.put(request_unblock{request, "olga"})));
    cr_assert(!log.state.blocked(request));
    cr_assert(rejected(
        log.put(request_suspect{request, {}, session_id(99)}),
        reject_reason::session_ended));
    cr_assert(rejected(
        log.put(request_suspect{request, engine_id(9), session}),
        reject_reason::unknown_entity));
}
