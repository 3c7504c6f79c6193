#pragma once

#include "tools/common/log_history.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::tools
{

/// A promise that the fold broke.
struct violation
{
    log_offset offset;
    std::string what;
};

/** Checks the promises of `fleet_state` again, with books of its own.

    It takes from the fold only what it made of each record (its status, the
    replicas that moved) and the names behind interned ids, and keeps its own
    account of entities, replicas, memory, leases, slots and claims from the
    records. After a start from a checkpoint the account begins with that
    state; claims older than it are not known.
*/
class invariant_checker : public history_observer
{
public:
    void restored(const fleet_state& state) override;
    void
    after_fold(const fleet_state& state, const history_entry& entry) override;

    const std::vector<violation>& violations() const
    {
        return this->found;
    }

    /// @return How many accepted records were checked.
    std::uint64_t checked() const
    {
        return this->records;
    }

private:
    using entity_key = std::pair<entity_kind, std::string>;

    struct entity_account
    {
        revision current;
        std::optional<entity_spec> spec; ///< empty: schema not known
    };

    struct replica_account
    {
        std::string servable;
        std::string engine;
        std::uint32_t memory_mib = 0;
        replica_state state = replica_state::decided;
    };

    struct lease_account
    {
        session_id holder;
        fence held;
        /// Holders that lapsed; an order of theirs may still arrive.
        std::set<session_id> lapsed;
    };

    /// Memory and slots kept for loads while the log is away.
    struct grant_account
    {
        fence held; ///< of the lease under which it was opened
        std::uint32_t memory_mib = 0;
        std::uint32_t loads = 0;
    };

    /// A model that may be loaded under a grant; it counts as a replica.
    struct granted_account
    {
        std::string servable;
        std::string engine;
        fence held; ///< of the lease under which it was named
        std::uint32_t memory_mib = 0;
        revision servable_revision;
    };

    struct session_account
    {
        author_id author;
        log_offset last_renewal;
        bool ended = false;
    };

    struct claim_account
    {
        session_id session;
        claim_outcome outcome = claim_outcome::open;
        stamp_ms opened = 0;
    };

    /// What is being checked.
    struct step
    {
        const fleet_state& state;
        const history_entry& entry;
    };

    void advance_time(const record& value);
    void check(const step& now, const config_change& value);
    void check(const step& now, const router_join& value);
    void check(const step& now, const router_leave& value);
    void check(const step& now, const router_gone& value);
    void check(const step& now, const session_renew& value);
    void check(const step& now, const lease_acquire& value);
    void check(const step& now, const lease_release& value);
    void check(const step& now, const replica_decide& value);
    void check(const step& now, const replica_report& value);
    void check(const step& now, const claim_open& value);
    void check(const step& now, const claim_close& value);
    void check(const step& now, const operator_key_change& value);

    void check(const step& now, const grant_open& value);
    void check(const step& now, const grant_model& value);
    void check(const step& now, const grant_settle& value);

    /// Records that change nothing which is promised.
    template <class Payload>
    void check(const step&, const Payload&)
    {
    }

    void check_signature(const record& value);
    void check_change(const entity_change& change);
    void follow_moves();
    void follow_move(const state_change& change);
    void check_slots();
    void check_count(const std::string& servable, std::uint32_t maximum);
    void check_memory(const std::string& engine, std::uint64_t more);
    void
    require_holder(const std::string& engine, engine_id id, session_id session);
    void require_proof(const std::string& engine, engine_id id);
    /// @return The granted model that a decision makes a replica, else 0.
    replica_id converted(
        const std::string& servable,
        const std::string& engine,
        revision expected) const;
    void restore_grant(const fleet_state& state, const engine_view& engine);
    void drop_grant(const std::string& engine, fence held);
    const entity_account* servable_account(const std::string& servable) const;
    void end_session(session_id session);
    void require_live(session_id session, const std::string& what);
    void require(bool holds, const std::string& what);
    template <class Spec>
    const Spec* spec_of(entity_kind kind, const std::string& name) const;
    std::uint64_t reserved_on(const std::string& engine) const;
    std::uint32_t replicas_of(const std::string& servable) const;
    policy_spec policy() const;

    const history_entry* current = nullptr;
    std::map<entity_key, entity_account> entities;
    std::map<replica_id, replica_account> replicas;
    std::map<std::string, grant_account> grants; ///< by engine
    std::map<replica_id, granted_account> granted;
    std::map<engine_id, lease_account> leases;
    std::map<session_id, session_account> sessions;
    std::map<claim_key, claim_account> claims;
    std::map<std::uint8_t, operator_key> keys; ///< accepted ones
    bool signatures_asked = false;             ///< a key was ever accepted
    stamp_ms log_time = 0;
    std::uint64_t records = 0;
    std::vector<violation> found;
};

template <class Spec>
const Spec*
invariant_checker::spec_of(entity_kind kind, const std::string& name) const
{
    const auto known = this->entities.find({kind, name});
    const bool readable = known != this->entities.end() && known->second.spec;
    return readable ? std::get_if<Spec>(&*known->second.spec) : nullptr;
}

} // namespace roseworks::tools
