#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::test
{

/// A log that is folded as it is written, with short ways to common records.
class fold_log
{
public:
    /// Append a record of the default author.
    fold_result put(record_payload payload)
    {
        return this->put_by(author_id(1), 1, std::move(payload));
    }

    /// Append a record of an author's incarnation.
    fold_result
    put_by(author_id author, std::uint64_t incarnation, record_payload payload)
    {
        record value;
        value.id = {author, incarnation, ++this->sequence};
        value.stamp = this->now;
        value.payload = std::move(payload);
        return this->put_record(std::move(value));
    }

    fold_result put_record(record value)
    {
        ++this->at.value;
        fold_result result = this->state.apply(this->at, value);
        this->records.push_back(std::move(value));
        return result;
    }

    /// Let log time pass, in steps that one record may take.
    void pass(stamp_ms length)
    {
        constexpr stamp_ms step = 3'600'000;
        for (; length > 0; length -= step)
        {
            this->now += std::min(length, step);
            this->put(unknown_record{200, {}});
        }
    }

    /// A change of one entity, at its current revision.
    entity_change
    change(entity_kind kind, const std::string& name, entity_spec spec) const
    {
        entity_change value;
        value.kind = kind;
        value.name = name;
        value.expected = this->state.entity_revision(kind, name);
        value.spec = std::move(spec);
        return value;
    }

    entity_change removal(entity_kind kind, const std::string& name) const
    {
        entity_change value;
        value.kind = kind;
        value.name = name;
        value.expected = this->state.entity_revision(kind, name);
        return value;
    }

    fold_result put_changes(std::vector<entity_change> changes)
    {
        return this->put(config_change{"olga", "test", std::move(changes), {}});
    }

    fold_result
    put_entity(entity_kind kind, const std::string& name, entity_spec spec)
    {
        return this->put_changes({this->change(kind, name, std::move(spec))});
    }

    /// @return The change that puts a policy.
    fold_result put_policy(const policy_spec& spec)
    {
        return this->put_entity(entity_kind::policy, "policy", spec);
    }

    /// Put a model `m`, an adapter `a` on it and an engine `e`, big enough
    /// for two replicas of the model and one of the adapter.
    void put_fleet(fencing_kind fencing = fencing_kind::ignores)
    {
        this->put_entity(entity_kind::model, "m", model());
        this->put_entity(entity_kind::adapter, "a", adapter());
        this->put_entity(entity_kind::engine, "e", engine(1, fencing));
    }

    static model_spec model()
    {
        model_spec spec;
        spec.memory_mib = 100;
        spec.max_replicas = 2;
        return spec;
    }

    static adapter_spec adapter()
    {
        adapter_spec spec;
        spec.base = "m";
        spec.memory_mib = 50;
        return spec;
    }

    static engine_spec
    engine(int number, fencing_kind fencing = fencing_kind::ignores)
    {
        engine_spec spec;
        spec.address = "10.0.0." + std::to_string(number) + ":7000";
        spec.memory_mib = 250;
        spec.fencing = fencing;
        return spec;
    }

    session_id join(std::uint64_t author, std::uint64_t incarnation = 1)
    {
        this->put_by(author_id(author), incarnation, router_join{"r"});
        return session_id(this->at.value);
    }

    /// Take an engine's free lease. @return Its fencing number.
    fence lease(session_id session, const std::string& name = "e")
    {
        this->put(
            lease_acquire{this->state.find_engine(name), session, {}, {}});
        return fence(this->at.value);
    }

    /// Take over a lapsed lease, naming what the taker saw.
    fold_result take_over(session_id session, const std::string& name = "e")
    {
        const auto view = this->state.engine(this->state.find_engine(name));
        const auto holder = this->state.session(view->holder);
        return this->put(lease_acquire{
            view->id,
            session,
            view->holder,
            holder ? holder->last_renewal : log_offset()});
    }

    replica_decide decision(
        const std::string& servable,
        session_id session,
        replica_id base = {},
        const std::string& engine = "e") const
    {
        replica_decide value;
        value.servable = this->state.find_servable(servable);
        if (const auto view = this->state.servable(value.servable))
            value.servable_revision = view->current;
        value.engine = this->state.find_engine(engine);
        if (const auto view = this->state.engine(value.engine))
            value.engine_revision = view->current;
        value.base = base;
        value.session = session;
        return value;
    }

    /// Decide a replica. @return Its id, whether accepted or not.
    replica_id decide(
        const std::string& servable, session_id session, replica_id base = {})
    {
        this->put(this->decision(servable, session, base));
        return replica_id(this->at.value);
    }

    fold_result
    report(replica_id replica, replica_state to, session_id session, fence held)
    {
        return this->put(replica_report{replica, to, held, session, "test"});
    }

    fleet_state state;
    log_offset at;
    std::uint64_t sequence = 0;
    stamp_ms now = 1'700'000'000'000;
    std::vector<record> records;
};

inline bool accepted(const fold_result& result)
{
    return result.status == fold_status::accepted;
}

inline bool rejected(const fold_result& result, reject_reason reason)
{
    return result.status == fold_status::rejected && result.reason == reason;
}

} // namespace roseworks::test
