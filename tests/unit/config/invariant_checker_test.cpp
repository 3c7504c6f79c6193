#include "tools/audit/invariant_checker.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/operator_key.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::tools;

namespace
{

constexpr session_id router{2};
constexpr servable_id model{1};
constexpr engine_id engine{1};

/** Shows a checker records that a broken fold would have accepted.

    The state only gives the names; the results are forged.
*/
class forged_fold
{
public:
    forged_fold()
    {
        config_change change;
        change.changes = {
            put("m", model_spec{"1", 40, 0, 2}),
            put("e", engine_spec{"127.0.0.1:1", "b", "d", 100}),
            put("policy", policy_spec{50, 1})};
        this->show(change);
        this->show(router_join{"r", "d", "", ""});
    }

    /// Shows the next record as accepted.
    void show(
        record_payload payload,
        std::vector<state_change> changes = {},
        author_id author = author_id(1))
    {
        history_entry entry;
        entry.offset = log_offset(++this->offset);
        entry.value.emplace();
        entry.value->id = {author, 1, this->offset};
        entry.value->stamp = static_cast<stamp_ms>(this->offset);
        entry.value->payload = std::move(payload);
        entry.result.emplace();
        entry.changes = std::move(changes);
        this->state.apply(entry.offset, *entry.value);
        this->checker.after_fold(this->state, entry);
    }

    void decide()
    {
        this->show(replica_decide{
            model, revision(1), engine, revision(1), {}, router});
    }

    static state_change
    moved(std::uint64_t replica, replica_state from, replica_state to)
    {
        state_change change;
        change.what = state_change::kind::replica_moved;
        change.replica = replica_id(replica);
        change.from = from;
        change.to = to;
        return change;
    }

    static entity_change put(std::string name, entity_spec spec)
    {
        entity_change change;
        change.kind = kind_of(spec);
        change.name = std::move(name);
        change.spec = std::move(spec);
        return change;
    }

    /// The only violation; empty when there isn't exactly one.
    std::string only() const
    {
        const auto& found = this->checker.violations();
        return found.size() == 1 ? found.front().what : std::string();
    }

    invariant_checker checker;

private:
    fleet_state state;
    std::uint64_t offset = 0;
};

} // namespace

Test(invariant_checker, is_content_with_a_right_fold)
{
    forged_fold fold;
    fold.decide();
    fold.decide();
    cr_expect(fold.checker.violations().empty());
    cr_expect_eq(fold.checker.checked(), 4);
}

Test(invariant_checker, sees_a_replica_too_many_and_memory_overcommitted)
{
    forged_fold fold;
    fold.decide();
    fold.decide();
    fold.decide();
    const auto& found = fold.checker.violations();
    cr_assert_eq(found.size(), 2);
    cr_expect_eq(found[0].what, "model m: 3 replicas, maximum 2");
    cr_expect_eq(found[1].what, "engine e: 120 MiB reserved of 100");
    cr_expect_eq(found[0].offset.value, 5);
}

Test(invariant_checker, sees_a_store_slot_too_many)
{
    forged_fold fold;
    fold.decide();
    fold.decide();
    const auto load = [&fold](std::uint64_t replica)
    {
        fold.show(
            session_renew{router},
            {forged_fold::moved(
                replica, replica_state::decided, replica_state::loading)});
    };
    load(3);
    cr_expect(fold.checker.violations().empty());
    load(4);
    cr_expect_eq(fold.only(), "2 loads at once, 1 store slots");
}

Test(invariant_checker, sees_an_illegal_move)
{
    forged_fold fold;
    fold.decide();
    fold.show(
        session_renew{router},
        {forged_fold::moved(3, replica_state::decided, replica_state::ready)});
    cr_expect_eq(fold.only(), "replica 3: moves from decided to ready");
}

Test(invariant_checker, sees_two_holders_of_a_lease)
{
    forged_fold fold;
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(lease_acquire{engine, router, {}, {}});
    cr_expect_eq(fold.only(), "engine e: lease taken while session 2 holds it");
}

Test(invariant_checker, sees_a_lease_taken_by_an_outdated_renewal)
{
    constexpr session_id taker{4};
    forged_fold fold;
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(router_join{"r2", "d", "", ""}, {}, author_id(2));
    fold.show(lease_acquire{engine, taker, router, log_offset(2)});
    cr_expect_eq(fold.only(), "engine e: lease taken while session 2 holds it");
}

Test(invariant_checker, sees_memory_freed_under_a_late_order)
{
    constexpr session_id taker{5};
    forged_fold fold;
    fold.decide();
    fold.show(
        lease_acquire{engine, router, {}, {}},
        {forged_fold::moved(
            3, replica_state::decided, replica_state::loading)});
    fold.show(router_join{"r2", "d", "", ""}, {}, author_id(2));
    // Taking the lease renewed the first holder's session, at offset 4.
    fold.show(lease_acquire{engine, taker, router, log_offset(4)});
    cr_expect(fold.checker.violations().empty());
    fold.show(replica_report{
        replica_id(3), replica_state::gone, fence(6), taker, ""});
    cr_expect_eq(
        fold.only(),
        "replica 3: memory freed while an old holder's order may arrive");
}

Test(invariant_checker, sees_a_revision_that_was_not_current)
{
    forged_fold fold;
    config_change change;
    change.changes = {forged_fold::put("m", model_spec{"2", 40, 0, 2})};
    fold.show(change);
    cr_expect_eq(
        fold.only(), "model m: accepted against revision 0, which is 1");
}

Test(invariant_checker, sees_two_winners_of_a_claim)
{
    forged_fold fold;
    const claim_key key{0, 1};
    fold.show(claim_open{key, router});
    fold.show(claim_open{key, router});
    cr_expect_eq(
        fold.only(), "claim 00000000000000000000000000000001: has two winners");
}

Test(invariant_checker, lets_a_key_be_claimed_anew_that_did_not_run)
{
    forged_fold fold;
    const claim_key key{0, 1};
    fold.show(claim_open{key, router});
    fold.show(claim_close{key, router, claim_outcome::not_run, 0, ""});
    fold.show(claim_open{key, router});
    cr_expect(fold.checker.violations().empty());
}

Test(invariant_checker, sees_an_ended_session_act)
{
    forged_fold fold;
    fold.show(router_leave{router});
    fold.show(session_renew{router});
    cr_expect_eq(fold.only(), "session 2 renews after its end");
}

Test(invariant_checker, counts_what_is_granted)
{
    forged_fold fold;
    const fence held(3);
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(grant_open{engine, router, held, 60, 1, 1000});
    fold.show(grant_model{model, revision(1), engine, router, held});
    cr_expect(fold.checker.violations().empty());
    fold.show(grant_open{engine, router, held, 101, 1, 1000});
    cr_expect_eq(fold.only(), "engine e: 101 MiB reserved of 100");
}

Test(invariant_checker, sees_a_replica_beside_those_granted)
{
    forged_fold fold;
    const fence held(3);
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(grant_open{engine, router, held, 10, 1, 1000});
    fold.show(grant_model{model, revision(1), engine, router, held});
    fold.show(grant_settle{replica_id(5), router, held, false});
    fold.decide();
    fold.decide();
    cr_expect(fold.checker.violations().empty());
    fold.show(grant_model{model, revision(1), engine, router, held});
    cr_expect_eq(fold.only(), "model m: 3 replicas, maximum 2");
}

Test(invariant_checker, sees_a_grant_used_beyond_its_memory)
{
    forged_fold fold;
    const fence held(3);
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(grant_open{engine, router, held, 30, 1, 1000});
    fold.show(grant_model{model, revision(1), engine, router, held});
    fold.show(grant_settle{replica_id(5), router, held, true});
    cr_expect_eq(fold.only(), "replica 5: uses more than its grant has");
}

Test(invariant_checker, sees_a_grant_freed_under_a_late_order)
{
    constexpr session_id taker{6};
    forged_fold fold;
    const fence held(3);
    fold.show(lease_acquire{engine, router, {}, {}});
    fold.show(grant_open{engine, router, held, 40, 1, 1000});
    fold.show(grant_model{model, revision(1), engine, router, held});
    fold.show(router_join{"r2", "d", "", ""}, {}, author_id(2));
    fold.show(lease_acquire{engine, taker, router, log_offset(4)});
    cr_expect(fold.checker.violations().empty());
    fold.show(grant_settle{replica_id(5), taker, fence(7), false});
    cr_expect_eq(
        fold.only(),
        "engine e: grant freed while an old holder's order may arrive");
}

Test(invariant_checker, sees_a_change_that_no_accepted_key_signed)
{
    forged_fold fold;
    fold.show(operator_key_change{
        "olga", 1, std::vector<std::byte>(operator_key_bytes), {}});
    cr_expect(fold.checker.violations().empty());
    config_change unsigned_change;
    unsigned_change.changes = {
        forged_fold::put("x", model_spec{"1", 40, 0, 2})};
    fold.show(unsigned_change);
    cr_expect_eq(
        fold.only(),
        "config_change accepted without the signature of an accepted key");
}
