#include "fold_log.hpp"

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

engine_view engine_of(const fold_log& log)
{
    return *log.state.engine(log.state.find_engine("e"));
}

} // namespace

Test(router, a_newer_run_ends_the_older)
{
    fold_log log;
    log.put_fleet();
    const session_id old = log.join(2, 1);
    log.lease(old);
    const session_id fresh = log.join(2, 2);
    cr_assert(log.state.session(old)->ended);
    cr_assert(!engine_of(log).holder);
    cr_assert(log.state.live_session(author_id(2)) == fresh);
    cr_assert(
        rejected(log.put(session_renew{old}), reject_reason::session_ended));
    cr_assert(rejected(
        log.put_by(author_id(2), 1, router_join{"r"}),
        reject_reason::session_ended));
    cr_assert(rejected(
        log.put_by(author_id(2), 2, router_join{"r"}),
        reject_reason::session_ended));
    cr_assert(!log.state.session(fresh)->ended);
}

Test(router, leave_and_gone_free_the_leases)
{
    fold_log log;
    log.put_fleet();
    const session_id one = log.join(2);
    log.lease(one);
    cr_assert(accepted(log.put(router_leave{one})));
    cr_assert(!engine_of(log).holder);
    cr_assert(
        rejected(log.put(router_leave{one}), reject_reason::session_ended));
    const session_id two = log.join(3);
    log.lease(two);
    cr_assert(accepted(log.put(router_gone{two, "operator"})));
    cr_assert(!engine_of(log).holder);
    cr_assert(rejected(
        log.put(router_gone{two, "operator"}), reject_reason::session_ended));
    cr_assert(!log.state.order_may_be_in_flight(engine_of(log).id));
}

Test(router, a_held_lease_is_only_taken_from_who_was_seen_to_lapse)
{
    fold_log log;
    log.put_fleet();
    const session_id holder = log.join(2);
    const session_id taker = log.join(3);
    const fence held = log.lease(holder);
    cr_assert(engine_of(log).held == held);
    const engine_id engine = engine_of(log).id;
    const auto blind = log.put(lease_acquire{engine, taker, {}, {}});
    cr_assert(rejected(blind, reject_reason::lease_held));
    cr_assert_eq(blind.winner.value, held.value);
    cr_assert(rejected(
        log.put(lease_acquire{engine, holder, holder, {}}),
        reject_reason::lease_held));

    const log_offset seen = log.state.session(holder)->last_renewal;
    cr_assert_eq(seen.value, held.value, "an acquisition counts as renewal");
    cr_assert(accepted(log.put(session_renew{holder})));
    cr_assert(rejected(
        log.put(lease_acquire{engine, taker, holder, seen}),
        reject_reason::lease_renewed));
    cr_assert(accepted(log.take_over(taker)));
    cr_assert(engine_of(log).holder == taker);
    cr_assert(engine_of(log).held > held);
    cr_assert(!log.state.session(holder)->ended);
}

Test(router, only_the_holder_releases)
{
    fold_log log;
    log.put_fleet();
    const session_id holder = log.join(2);
    const session_id other = log.join(3);
    log.lease(holder);
    const engine_id engine = engine_of(log).id;
    cr_assert(rejected(
        log.put(lease_release{engine, other}), reject_reason::not_holder));
    cr_assert(accepted(log.put(lease_release{engine, holder})));
    cr_assert(rejected(
        log.put(lease_release{engine, {}}), reject_reason::not_holder));
    cr_assert(
        accepted(log.put(lease_acquire{engine, other, holder, log_offset(1)})));
    cr_assert(!log.state.order_may_be_in_flight(engine));
    cr_assert(rejected(
        log.put(lease_acquire{engine_id(9), other, {}, {}}),
        reject_reason::unknown_entity));
    cr_assert(rejected(
        log.put(lease_acquire{engine, session_id(1), {}, {}}),
        reject_reason::session_ended));
}

Test(router, a_former_holder_counts_until_proven_gone)
{
    for (const fencing_kind fencing :
         {fencing_kind::ignores, fencing_kind::checks})
    {
        fold_log log;
        log.put_fleet(fencing);
        const session_id old = log.join(2);
        const session_id taker = log.join(3);
        log.lease(old);
        const replica_id replica = log.decide("m", old);
        log.take_over(taker);
        const fence held = engine_of(log).held;
        const bool ignores = fencing == fencing_kind::ignores;
        cr_assert_eq(
            log.state.order_may_be_in_flight(engine_of(log).id), ignores);
        const auto result =
            log.report(replica, replica_state::gone, taker, held);
        if (!ignores)
        {
            cr_assert(accepted(result));
            continue;
        }
        cr_assert(rejected(result, reject_reason::not_proven_gone));
        cr_assert_eq(engine_of(log).reserved_mib, 100);
        log.put(router_gone{old, "left the VM list"});
        cr_assert(!log.state.order_may_be_in_flight(engine_of(log).id));
        cr_assert(
            accepted(log.report(replica, replica_state::gone, taker, held)));
        cr_assert_eq(engine_of(log).reserved_mib, 0);
    }
}

Test(router, a_former_holder_says_that_no_order_of_it_is_in_flight)
{
    fold_log log;
    log.put_fleet();
    const session_id oldest = log.join(2);
    const session_id old = log.join(3);
    const session_id taker = log.join(4);
    const session_id stranger = log.join(5);
    log.lease(oldest);
    const replica_id replica = log.decide("m", oldest);
    log.take_over(old);
    log.take_over(taker);
    const engine_id engine = engine_of(log).id;
    const fence held = engine_of(log).held;

    cr_assert(rejected(
        log.put(lease_release{engine, stranger}), reject_reason::not_holder));
    cr_assert(accepted(log.put(lease_release{engine, oldest})));
    cr_assert(!log.state.former_holder(engine, oldest));
    cr_assert(log.state.former_holder(engine, old));
    cr_assert(rejected(
        log.put(lease_release{engine, oldest}), reject_reason::not_holder));
    cr_assert(rejected(
        log.report(replica, replica_state::gone, taker, held),
        reject_reason::not_proven_gone));

    cr_assert(accepted(log.put(lease_release{engine, old})));
    cr_assert(!log.state.order_may_be_in_flight(engine));
    cr_assert_eq(engine_of(log).holder, taker, "the lease stays where it is");
    cr_assert_eq(engine_of(log).held, held);
    cr_assert(accepted(log.report(replica, replica_state::gone, taker, held)));
}

Test(router, a_former_holder_outlives_the_engines_removal)
{
    fold_log log;
    log.put_fleet();
    const session_id old = log.join(2);
    log.lease(old);
    log.put_changes({log.removal(entity_kind::engine, "e")});
    log.put_entity(entity_kind::engine, "e", fold_log::engine(1));
    cr_assert(!engine_of(log).holder);
    cr_assert(log.state.order_may_be_in_flight(engine_of(log).id));
    log.join(2, 2);
    cr_assert(!log.state.order_may_be_in_flight(engine_of(log).id));
}

Test(router, a_record_sent_again_is_folded_once)
{
    fold_log log;
    log.put_fleet();
    const record again = log.records.front();
    const auto hash = log.state.hash();
    cr_assert(log.put_record(again).status == fold_status::duplicate);
    cr_assert_eq(log.state.hash(), hash);

    record late = again;
    late.payload = unknown_record{200, {}};
    late.id.sequence = 1000;
    cr_assert(log.put_record(late).status == fold_status::unknown);
    late.id.sequence = 999;
    cr_assert(log.put_record(late).status == fold_status::unknown);
    cr_assert(log.put_record(late).status == fold_status::duplicate);
    late.id.sequence = 5000;
    cr_assert(log.put_record(late).status == fold_status::unknown);
    late.id.sequence = 1001;
    cr_assert(
        log.put_record(late).status == fold_status::duplicate,
        "older than the window");
    late.id.incarnation = 2;
    cr_assert(log.put_record(late).status == fold_status::unknown);
}

Test(router, log_time_never_goes_back_nor_leaps)
{
    fold_log log;
    const stamp_ms start = log.now;
    log.pass(10);
    log.now = start;
    log.put(unknown_record{200, {}});
    cr_assert_eq(log.state.log_time(), start + 10);
    log.now = start + 100'000'000;
    log.put(unknown_record{200, {}});
    cr_assert_eq(log.state.log_time(), start + 10 + 3'600'000);
}

Test(router, what_ended_long_ago_is_forgotten)
{
    fold_log log;
    const session_id live = log.join(2);
    const session_id old = log.join(3, 1);
    const session_id fresh = log.join(3, 2);
    log.put(router_leave{fresh});
    log.pass(2 * 3'600'000);
    cr_assert(!log.state.session(old));
    cr_assert(log.state.session(fresh), "tells older runs apart");
    log.pass(8 * 86'400'000LL);
    cr_assert(!log.state.session(fresh));
    cr_assert(!log.state.session(live)->ended);
}
