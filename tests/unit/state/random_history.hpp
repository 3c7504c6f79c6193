#pragma once

#include "fold_log.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace roseworks::test
{

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
        switch (step[0] % 18)
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
        case 11:
        case 12:
            return this->log.put(this->grant(step));
        case 13:
        case 14:
            return this->log.put(this->granted(step));
        case 15:
        case 16:
            return this->settle(step);
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

    /// Open, resize or close the grant of an engine, as its holder or not.
    grant_open grant(const step& step) const
    {
        const auto engine = this->log.state.engine(
            this->log.state.find_engine(name('e', step[1] % 3)));
        const bool stale = step[3] % 8 == 0;
        grant_open value;
        value.engine = engine->id;
        value.session = stale ? this->session(step[3] / 8) : engine->holder;
        value.held = engine->held;
        value.memory_mib = 30 * (step[2] % 5);
        value.loads = value.memory_mib == 0 ? 0 : 1 + step[2] / 128;
        value.term_ms = 60'000;
        return value;
    }

    grant_model granted(const step& step) const
    {
        const auto engine = this->log.state.engine(
            this->log.state.find_engine(name('e', step[1] % 3)));
        const auto model = this->log.state.servable(
            this->log.state.find_servable(name('m', step[2] % 3)));
        return {
            model->id,
            model->current,
            engine->id,
            engine->holder,
            engine->held};
    }

    fold_result settle(const step& step)
    {
        std::vector<granted_model_view> rows;
        this->log.state.for_each_granted_model(
            [&rows](const granted_model_view& row)
            {
                rows.push_back(row);
            });
        if (rows.empty())
            return this->log.put(grant_settle{});
        const granted_model_view& row = rows[step[1] % rows.size()];
        const auto engine = this->log.state.engine(row.engine);
        return this->log.put(grant_settle{
            row.id, engine->holder, engine->held, step[2] % 2 == 0});
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

} // namespace roseworks::test
