#include "tools/audit/invariant_checker.hpp"

#include "tools/audit/violation_text.hpp"
#include "tools/common/trail.hpp"

#include <roseworks/names.hpp>
#include <roseworks/operator_key.hpp>
#include <roseworks/plan.hpp>

#include <algorithm>

namespace roseworks::tools
{

namespace
{

constexpr stamp_ms max_step_ms = 3'600'000;

} // namespace

void invariant_checker::restored(const fleet_state& state)
{
    this->log_time = state.log_time();
    for (const desired_entity& entity : declared_fleet(state).entities)
    {
        this->entities[{entity.kind(), entity.name}] = {
            state.entity_revision(entity.kind(), entity.name), entity.spec};
    }
    state.for_each_replica(
        [&](const replica_view& replica)
        {
            this->replicas[replica.id] = {
                servable_name(state, replica.servable),
                engine_name(state, replica.engine),
                replica.memory_mib,
                replica.state};
        });
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            this->leases[engine.id].holder = engine.holder;
            this->leases[engine.id].held = engine.held;
            this->restore_grant(state, engine);
        });
    state.for_each_granted_model(
        [&](const granted_model_view& model)
        {
            const std::string on = engine_name(state, model.engine);
            this->granted[model.id] = {
                servable_name(state, model.servable),
                on,
                model.held,
                model.memory_mib,
                model.servable_revision};
        });
    state.for_each_session(
        [&](const session_view& session)
        {
            this->sessions[session.id] = {
                session.author, session.last_renewal, session.ended};
        });
    state.for_each_operator_key(
        [&](const operator_key_view& view)
        {
            this->signatures_asked = true;
            if (!view.retired)
                this->keys[view.key.number] = view.key;
        });
}

void invariant_checker::after_fold(
    const fleet_state& state, const history_entry& entry)
{
    if (!entry.value || !entry.result)
    {
        return;
    }
    this->current = &entry;
    this->advance_time(*entry.value);
    if (entry.result->status == fold_status::accepted)
    {
        ++this->records;
        this->check_signature(*entry.value);
        std::visit(
            [&](const auto& payload)
            {
                this->check(step{state, entry}, payload);
            },
            entry.value->payload);
    }
    this->follow_moves();
}

void invariant_checker::advance_time(const record& value)
{
    if (std::holds_alternative<checkpoint_chunk>(value.payload) ||
        value.stamp <= this->log_time)
    {
        return;
    }
    this->log_time = this->log_time == 0
                         ? value.stamp
                         : std::min(value.stamp, this->log_time + max_step_ms);
}

void invariant_checker::check(const step&, const config_change& value)
{
    for (const entity_change& change : value.changes)
    {
        this->check_change(change);
    }
}

/// Routers declare others gone without a signature.
void invariant_checker::check_signature(const record& value)
{
    const bool asked = this->signatures_asked && signature_of(value) != nullptr;
    if (!asked || std::holds_alternative<router_gone>(value.payload))
        return;
    const auto key = this->keys.find(signing_number(value));
    this->require(
        key != this->keys.end() && signed_by(value, key->second),
        std::string(roseworks::kind_name(value.payload)) +
            " accepted without the signature of an accepted key");
}

void invariant_checker::check(const step&, const operator_key_change& value)
{
    this->signatures_asked = true;
    this->keys.erase(value.number);
    if (value.key.size() != operator_key_bytes)
        return;
    operator_key& added = this->keys[value.number];
    added.number = value.number;
    std::ranges::copy(value.key, added.bytes.begin());
}

void invariant_checker::check_change(const entity_change& change)
{
    const entity_key key{change.kind, change.name};
    const auto known = this->entities.find(key);
    const revision before =
        known == this->entities.end() ? revision() : known->second.current;
    this->require(
        before == change.expected,
        about(to_string(change.kind), change.name) +
            "accepted against revision " +
            std::to_string(change.expected.value) + ", which is " +
            std::to_string(before.value));
    const revision now(this->current->offset.value);
    this->require(
        now > before,
        about(to_string(change.kind), change.name) + "revision reverts");
    if (change.spec || !change.unread.empty())
    {
        this->entities[key] = {now, change.spec};
        return;
    }
    this->entities.erase(key);
}

void invariant_checker::check(const step& now, const router_join&)
{
    const author_id author = now.entry.value->id.author;
    std::vector<session_id> replaced;
    for (const auto& [id, session] : this->sessions)
    {
        if (session.author == author && !session.ended)
        {
            replaced.push_back(id);
        }
    }
    for (const session_id id : replaced)
    {
        this->end_session(id);
    }
    this->sessions[session_id(now.entry.offset.value)] = {
        author, now.entry.offset, false};
}

void invariant_checker::check(const step&, const router_leave& value)
{
    this->require_live(value.session, "leaves");
    this->end_session(value.session);
}

void invariant_checker::check(const step&, const router_gone& value)
{
    this->require_live(value.session, "is gone");
    this->end_session(value.session);
}

void invariant_checker::check(const step& now, const session_renew& value)
{
    this->require_live(value.session, "renews");
    this->sessions[value.session].last_renewal = now.entry.offset;
}

void invariant_checker::check(const step& now, const lease_acquire& value)
{
    this->require_live(value.session, "takes a lease");
    lease_account& lease = this->leases[value.engine];
    const std::string engine =
        about("engine", engine_name(now.state, value.engine));
    if (lease.holder)
    {
        const log_offset renewed = this->sessions[lease.holder].last_renewal;
        this->require(
            lease.holder == value.previous && renewed == value.previous_renewal,
            engine + "lease taken while session " +
                std::to_string(lease.holder.value) + " holds it");
        lease.lapsed.insert(lease.holder);
    }
    lease.lapsed.erase(value.session);
    lease.holder = value.session;
    lease.held = fence(now.entry.offset.value);
    // As documented for `session_view::last_renewal`.
    this->sessions[value.session].last_renewal = now.entry.offset;
}

void invariant_checker::check(const step& now, const lease_release& value)
{
    lease_account& lease = this->leases[value.engine];
    this->require(
        lease.holder == value.session || lease.lapsed.contains(value.session),
        about("engine", engine_name(now.state, value.engine)) +
            "lease released by session " + std::to_string(value.session.value) +
            ", which never held it");
    lease.lapsed.erase(value.session);
    if (lease.holder == value.session)
    {
        this->drop_grant(engine_name(now.state, value.engine), lease.held);
        lease.holder = session_id();
        lease.held = fence();
    }
}

void invariant_checker::check(const step&, const claim_open& value)
{
    this->require_live(value.session, "claims a key");
    const auto known = this->claims.find(value.key);
    const bool released =
        known == this->claims.end() ||
        known->second.outcome == claim_outcome::not_run ||
        this->log_time - known->second.opened >=
            static_cast<stamp_ms>(this->policy().claim_horizon_ms);
    this->require(
        released, about("claim", to_hex(value.key)) + "has two winners");
    this->claims[value.key] = {
        value.session, claim_outcome::open, this->log_time};
}

void invariant_checker::check(const step&, const claim_close& value)
{
    const auto known = this->claims.find(value.key);
    if (known == this->claims.end())
    {
        return; // opened before the checkpoint
    }
    this->require(
        known->second.session == value.session,
        about("claim", to_hex(value.key)) + "closed by another session");
    this->require(
        known->second.outcome == claim_outcome::open,
        about("claim", to_hex(value.key)) + "closed twice");
    known->second.outcome = value.outcome;
}

void invariant_checker::end_session(session_id session)
{
    this->sessions[session].ended = true;
    for (auto& [engine, lease] : this->leases)
    {
        lease.lapsed.erase(session);
        if (lease.holder == session)
        {
            lease.holder = session_id();
        }
    }
}

void invariant_checker::require_live(
    session_id session, const std::string& what)
{
    const auto known = this->sessions.find(session);
    this->require(
        known != this->sessions.end() && !known->second.ended,
        "session " + std::to_string(session.value) + ' ' + what +
            " after its end");
}

void invariant_checker::require(bool holds, const std::string& what)
{
    if (!holds)
    {
        this->found.push_back({this->current->offset, what});
    }
}

policy_spec invariant_checker::policy() const
{
    const auto* spec = this->spec_of<policy_spec>(
        entity_kind::policy, std::string(policy_name));
    return spec == nullptr ? policy_spec{} : *spec;
}

} // namespace roseworks::tools
