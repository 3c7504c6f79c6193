#include "fold_log.hpp"

#include <cstdlib>
#include <map>
#include <optional>
#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::test;

/// One step of a random history; the numbers choose among what there is.
using step = std::array<std::uint8_t, 4>;

/** Plays random steps as records that are often valid, and often not.

    Three models, two adapters and three engines with room for few replicas;
    four routers that join, die, pause and take leases from each other.
*/
class history
{
public:
    history()
    {
        policy_spec policy;
        policy.store_slots = slots;
        policy.claim_horizon_ms = 60'000;
        this->log.put_policy(policy);
        for (int i = 0; i < 3; ++i)
        {
            this->log.put_entity(entity_kind::model, name('m', i), model(i));
            this->log.put_entity(
                entity_kind::engine,
                name('e', i),
                fold_log::engine(i, fencing_kind(i % 2)));
        }
        for (int i = 0; i < 2; ++i)
        {
            auto spec = fold_log::adapter();
            spec.base = name('m', i);
            this->log.put_entity(entity_kind::adapter, name('a', i), spec);
        }
        for (std::uint64_t author = 2; author < 6; ++author)
            this->sessions.push_back(this->log.join(author));
    }

    fold_result play(const step& step)
    {
        this->log.now += step[3];
        switch (step[0] % 12)
        {
        case 0:
            return this->log.put(this->change(step));
        case 1:
            return this->join(step);
        case 2:
            return this->log.put(router_gone{this->session(step[1]), "vm"});
        case 3:
            return this->log.put(session_renew{this->session(step[1])});
        case 4:
        case 5:
            return this->acquire(step);
        case 6:
        case 7:
            return this->log.put(this->decision(step));
        case 8:
        case 9:
        case 10:
            return this->report(step);
        default:
            return this->claim(step);
        }
    }

    static constexpr std::uint16_t slots = 2;
    fold_log log;

private:
    static std::string name(char kind, int number)
    {
        return std::string(1, kind) + std::to_string(number);
    }

    static model_spec model(int salt)
    {
        auto spec = fold_log::model();
        spec.memory_mib = 60 + 30 * (salt % 3);
        spec.max_replicas = 1 + salt % 3;
        return spec;
    }

    session_id session(std::uint8_t choice) const
    {
        return this->sessions[choice % this->sessions.size()];
    }

    config_change change(const step& step) const
    {
        const std::string model_name = name('m', step[1] % 3);
        auto change =
            this->log.change(entity_kind::model, model_name, model(step[2]));
        if (step[2] % 4 == 0)
            change.expected = revision(1);
        return {"olga", "", {change}, {}};
    }

    fold_result join(const step& step)
    {
        const auto result = this->log.put_by(
            author_id(2 + step[1] % 4), step[2] % 8, router_join{"r"});
        if (accepted(result))
            this->sessions.emplace_back(this->log.at.value);
        return result;
    }

    fold_result acquire(const step& step)
    {
        const std::string engine = name('e', step[1] % 3);
        if (step[2] % 4 != 0)
            return this->log.take_over(this->session(step[2] / 4), engine);
        return this->log.put(lease_acquire{
            this->log.state.find_engine(engine),
            this->session(step[2] / 4),
            {},
            {}});
    }

    replica_decide decision(const step& step) const
    {
        const bool adapter = step[1] % 3 == 0;
        const int number = step[1] / 3 % (adapter ? 2 : 3);
        const std::string engine = name('e', step[2] % 3);
        replica_id base;
        this->log.state.for_each_replica_on(
            this->log.state.find_engine(engine),
            [&](const replica_view& row)
            {
                const auto wanted =
                    this->log.state.find_servable(name('m', number));
                if (adapter && row.servable == wanted)
                    base = row.id;
            });
        auto value = this->log.decision(
            name(adapter ? 'a' : 'm', number),
            this->session(step[2] / 3),
            base,
            engine);
        value.urgency = static_cast<priority>(step[3] % 3);
        return value;
    }

    fold_result report(const step& step)
    {
        std::vector<replica_view> rows;
        this->log.state.for_each_replica(
            [&rows](const replica_view& row)
            {
                rows.push_back(row);
            });
        if (rows.empty())
            return this->log.report({}, replica_state::gone, {}, {});
        const replica_view& row = rows[step[1] % rows.size()];
        const auto engine = this->log.state.engine(row.engine);
        const auto to = static_cast<replica_state>(step[2] % 7);
        const bool stale = step[3] % 8 == 0;
        return this->log.report(
            row.id,
            to,
            stale ? this->session(step[3] / 8) : engine->holder,
            engine->held);
    }

    fold_result claim(const step& step)
    {
        const claim_key key{0, std::uint64_t(step[1] % 4)};
        const session_id session = this->session(step[2]);
        if (step[3] % 2 == 0)
            return this->log.put(claim_open{key, session});
        const auto outcome = static_cast<claim_outcome>(step[2] % 4);
        return this->log.put(claim_close{key, session, outcome, 200, "x"});
    }

    std::vector<session_id> sessions;
};

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
    RC_ASSERT(loading <= history::slots);
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
                played.play(step);
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
                }
                std::erase_if(
                    owners,
                    [&state](const auto& owner)
                    {
                        return !state.claim(owner.first);
                    });
                for (const auto& [key, session] : owners)
                    RC_ASSERT(state.claim(key)->session == session);
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
