#include "random_history.hpp"

#include <cstdlib>
#include <map>
#include <optional>
#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

using steps = std::vector<step>;

/// Run a property over random histories, the same ones in every run.
template <class Property>
bool holds(const char* title, Property&& property)
{
    setenv("RC_PARAMS", "seed=20250107 max_success=200 max_size=400", 1);
    return rc::check(
        title,
        [&]
        {
            property(*rc::gen::container<steps>(
                rc::gen::container<step>(rc::gen::arbitrary<std::uint8_t>())));
        });
}

void check_engines(const fleet_state& state)
{
    state.for_each_engine(
        [&state](const engine_view& engine)
        {
            std::uint32_t sum = 0;
            state.for_each_replica_on(
                engine.id,
                [&sum](const replica_view& row)
                {
                    sum += row.memory_mib;
                });
            if (const auto grant = state.standing_grant(engine.id))
                sum += grant->memory_mib;
            RC_ASSERT(sum == engine.reserved_mib);
            RC_ASSERT(sum <= engine.spec->memory_mib);
            const auto holder = state.session(engine.holder);
            const bool alive = holder && !holder->ended;
            RC_ASSERT(alive == bool(engine.holder));
        });
}

void check_slots(const fleet_state& state)
{
    std::size_t loading = 0;
    state.for_each_replica(
        [&loading](const replica_view& row)
        {
            loading += row.state == replica_state::loading;
            RC_ASSERT(row.holds_slot == (row.state == replica_state::loading));
        });
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            if (const auto grant = state.standing_grant(engine.id))
                loading += grant->loads;
        });
    RC_ASSERT(loading <= history::slots);
}

/// Replicas of each servable that aren't gone or are granted.
std::map<servable_id, std::size_t> committed(const fleet_state& state)
{
    std::map<servable_id, std::size_t> count;
    state.for_each_replica(
        [&count](const replica_view& row)
        {
            ++count[row.servable];
        });
    state.for_each_granted_model(
        [&count](const granted_model_view& row)
        {
            ++count[row.servable];
        });
    return count;
}

/// Only a decision or a grant adds to a servable's replicas, up to its maximum.
void check_growth(
    const fold_log& log, const std::map<servable_id, std::size_t>& before)
{
    const record_payload& payload = log.records.back().payload;
    const bool may_grow = std::holds_alternative<replica_decide>(payload) ||
                          std::holds_alternative<grant_model>(payload);
    for (const auto& [servable, count] : committed(log.state))
    {
        const auto had = before.find(servable);
        if (had != before.end() && count <= had->second)
            continue;
        RC_ASSERT(may_grow);
        RC_ASSERT(count <= log.state.servable(servable)->max_replicas);
    }
}

void check_decisions(const fleet_state& state)
{
    for (const state_change& change : state.changes())
    {
        if (change.what != state_change::kind::replica_moved ||
            change.to != replica_state::decided)
            continue;
        const servable_id servable(change.entity_id);
        std::size_t count = 0;
        state.for_each_replica_of(
            servable,
            [&count](const replica_view&)
            {
                ++count;
            });
        RC_ASSERT(count <= state.servable(servable)->max_replicas);
    }
}

} // namespace

Test(properties, equal_logs_give_equal_states)
{
    cr_assert(holds(
        "fold, fold again, and fold from a snapshot midway",
        [](const steps& script)
        {
            history played;
            for (const step& step : script)
                played.play(step);
            const auto& records = played.log.records;
            fleet_state second;
            std::optional<fleet_state> third;
            for (std::size_t i = 0; i < records.size(); ++i)
            {
                const log_offset at(i + 1);
                const auto result = second.apply(at, records[i]);
                if (third)
                {
                    const auto other = third->apply(at, records[i]);
                    RC_ASSERT(result.status == other.status);
                    RC_ASSERT(result.detail == other.detail);
                }
                if (i == records.size() / 2)
                {
                    auto again = fleet_state::restore(second.snapshot());
                    RC_ASSERT(bool(again));
                    third.emplace(std::move(*again));
                }
            }
            RC_ASSERT(second.hash() == played.log.state.hash());
            RC_ASSERT(third->hash() == second.hash());
        }));
}

Test(properties, memory_replicas_and_slots_stay_within_bounds)
{
    cr_assert(holds(
        "bounds after every record",
        [](const steps& script)
        {
            history played;
            for (const step& step : script)
            {
                const auto before = committed(played.log.state);
                played.play(step);
                check_growth(played.log, before);
                check_engines(played.log.state);
                check_slots(played.log.state);
                check_decisions(played.log.state);
            }
            RC_CLASSIFY(script.size() > 100, "over 100 steps");
        }));
}

Test(properties, accepted_configuration_never_reverts)
{
    cr_assert(holds(
        "revisions only grow, and only by the change itself",
        [](const steps& script)
        {
            history played;
            std::map<servable_id, revision> seen;
            for (const step& step : script)
            {
                played.play(step);
                played.log.state.for_each_servable(
                    [&](const servable_view& view)
                    {
                        revision& last = seen[view.id];
                        const bool kept = !last || view.current == last;
                        const bool changed =
                            view.current.value == played.log.at.value;
                        const bool fair = kept || changed;
                        RC_ASSERT(fair);
                        last = view.current;
                    });
            }
        }));
}

Test(properties, a_claim_has_one_winner)
{
    cr_assert(holds(
        "no claim is granted while another stands",
        [](const steps& script)
        {
            history played;
            std::map<claim_key, session_id> owners;
            std::map<claim_key, claim_outcome> ended;
            for (const step& step : script)
            {
                const auto& state = played.log.state;
                const auto result = played.play(step);
                const auto& payload = played.log.records.back().payload;
                const auto* open = std::get_if<claim_open>(&payload);
                if (open != nullptr && accepted(result))
                {
                    RC_ASSERT(!owners.contains(open->key));
                    owners[open->key] = open->session;
                    ended.erase(open->key);
                }
                const auto* close = std::get_if<claim_close>(&payload);
                if (close != nullptr && accepted(result))
                {
                    RC_ASSERT(!ended.contains(close->key));
                    RC_ASSERT(owners.at(close->key) == close->session);
                    ended[close->key] = close->outcome;
                }
                std::erase_if(
                    owners,
                    [&state](const auto& owner)
                    {
                        return !state.claim(owner.first);
                    });
                for (const auto& [key, session] : owners)
                {
                    const auto claim = state.claim(key);
                    if (ended.contains(key))
                        RC_ASSERT(claim->outcome == ended.at(key));
                    else
                        RC_ASSERT(claim->session == session);
                }
            }
        }));
}

Test(properties, memory_is_freed_only_when_no_old_order_can_arrive)
{
    cr_assert(holds(
        "gone after loading means no order is in flight",
        [](const steps& script)
        {
            history played;
            for (const step& step : script)
            {
                played.play(step);
                const auto& state = played.log.state;
                for (const state_change& change : state.changes())
                    if (change.what == state_change::kind::replica_moved &&
                        change.to == replica_state::gone &&
                        change.from != replica_state::decided)
                        RC_ASSERT(!state.order_may_be_in_flight(change.engine));
            }
        }));
}

Test(properties, grants_are_freed_by_their_holder_or_on_proof)
{
    cr_assert(holds(
        "a granted model that is no replica left by its lease or on proof",
        [](const steps& script)
        {
            history played;
            std::size_t settled = 0;
            for (const step& step : script)
            {
                std::vector<granted_model_view> before;
                played.log.state.for_each_granted_model(
                    [&before](const granted_model_view& row)
                    {
                        before.push_back(row);
                    });
                played.play(step);
                const auto& state = played.log.state;
                for (const granted_model_view& row : before)
                {
                    if (state.granted_model(row.id) || state.replica(row.id))
                        continue;
                    ++settled;
                    const auto& payload = played.log.records.back().payload;
                    const auto* settle = std::get_if<grant_settle>(&payload);
                    const bool by_lease =
                        std::holds_alternative<lease_release>(payload) ||
                        (settle != nullptr && settle->held == row.held);
                    const bool fair =
                        by_lease || !state.order_may_be_in_flight(row.engine);
                    RC_ASSERT(fair);
                }
            }
            RC_CLASSIFY(settled != 0, "settled as not used");
        }));
}
