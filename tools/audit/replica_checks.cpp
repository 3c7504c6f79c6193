#include "tools/audit/invariant_checker.hpp"
#include "tools/audit/servable_figures.hpp"
#include "tools/audit/violation_text.hpp"
#include "tools/common/trail.hpp"

#include <algorithm>

namespace roseworks::tools
{

namespace
{

/// The replica life cycle as record.hpp states it.
bool is_legal(replica_state from, replica_state to)
{
    using enum replica_state;
    static const std::set<std::pair<replica_state, replica_state>> moves{
        {decided, loading},
        {decided, gone},
        {loading, ready},
        {loading, failed},
        {loading, gone},
        {ready, draining},
        {draining, unloading},
        {unloading, gone},
        {failed, unloading},
        {failed, gone}};
    return moves.contains({from, to});
}

} // namespace

void invariant_checker::check(const step& now, const replica_decide& value)
{
    this->require_live(value.session, "decides a replica");
    const std::string servable = servable_name(now.state, value.servable);
    const std::string engine = engine_name(now.state, value.engine);
    const entity_account* const known = this->servable_account(servable);
    const engine_spec* const there =
        this->spec_of<engine_spec>(entity_kind::engine, engine);
    if (known == nullptr || !known->spec || there == nullptr)
    {
        this->require(false, about("model", servable) + "not declared");
        return;
    }
    this->require(
        known->current == value.servable_revision,
        about("model", servable) + "decided for an old revision");
    const std::uint32_t memory = memory_of(*known->spec);
    replica_id id = this->converted(servable, engine, value.servable_revision);
    if (id)
    {
        this->granted.erase(id);
    }
    else
    {
        id = replica_id(now.entry.offset.value);
    }
    this->check_count(servable, maximum_of(*known->spec));
    this->check_memory(engine, memory);
    this->replicas[id] = {servable, engine, memory, replica_state::decided};
}

void invariant_checker::check(const step& now, const replica_report& value)
{
    this->require_live(value.session, "reports a replica");
    const auto replica = this->replicas.find(value.replica);
    if (replica == this->replicas.end())
    {
        this->require(false, about(value.replica) + "reported, yet gone");
        return;
    }
    if (value.to == replica_state::draining)
    {
        return; // any router may ask for it
    }
    const std::string& engine = replica->second.engine;
    const engine_id id = now.state.find_engine(engine);
    const lease_account& lease = this->leases[id];
    this->require(
        lease.holder == value.session,
        about(value.replica) + "reported by session " +
            std::to_string(value.session.value) +
            ", which doesn't hold the lease");
    const engine_spec* const spec =
        this->spec_of<engine_spec>(entity_kind::engine, engine);
    const bool ignores =
        spec != nullptr && spec->fencing == fencing_kind::ignores;
    const bool was_ordered = replica->second.state != replica_state::decided;
    this->require(
        value.to != replica_state::gone || !ignores || !was_ordered ||
            lease.lapsed.empty(),
        about(value.replica) +
            "memory freed while an old holder's order may arrive");
}

void invariant_checker::follow_moves()
{
    for (const state_change& change : this->current->changes)
    {
        if (change.what == state_change::kind::replica_moved)
        {
            this->follow_move(change);
        }
    }
}

void invariant_checker::follow_move(const state_change& change)
{
    const auto replica = this->replicas.find(change.replica);
    if (replica == this->replicas.end())
    {
        this->require(false, about(change.replica) + "moves, yet is gone");
        return;
    }
    replica_account& account = replica->second;
    if (change.from == change.to)
    {
        return; // its decision
    }
    this->require(
        account.state == change.from && is_legal(change.from, change.to),
        about(change.replica) + "moves from " +
            std::string(to_string(account.state)) + " to " +
            std::string(to_string(change.to)));
    account.state = change.to;
    if (change.to == replica_state::gone)
    {
        this->replicas.erase(replica);
        return;
    }
    if (change.to == replica_state::loading)
    {
        this->check_slots();
    }
}

void invariant_checker::check_slots()
{
    const auto held = std::count_if(
        this->replicas.begin(),
        this->replicas.end(),
        [](const auto& replica)
        {
            return replica.second.state == replica_state::loading;
        });
    std::uint32_t kept = 0;
    for (const auto& [engine, grant] : this->grants)
    {
        kept += grant.loads;
    }
    const std::uint16_t slots = this->policy().store_slots;
    const std::string by_grants =
        kept == 0 ? std::string() : " and " + std::to_string(kept) + " granted";
    this->require(
        held + kept <= slots,
        std::to_string(held) + " loads at once" + by_grants + ", " +
            std::to_string(slots) + " store slots");
}

std::uint64_t invariant_checker::reserved_on(const std::string& engine) const
{
    std::uint64_t sum = 0;
    for (const auto& [id, replica] : this->replicas)
    {
        sum += replica.engine == engine ? replica.memory_mib : 0;
    }
    const auto grant = this->grants.find(engine);
    return sum + (grant == this->grants.end() ? 0 : grant->second.memory_mib);
}

std::uint32_t invariant_checker::replicas_of(const std::string& servable) const
{
    std::uint32_t count = 0;
    for (const auto& [id, replica] : this->replicas)
    {
        count += replica.servable == servable ? 1 : 0;
    }
    for (const auto& [id, model] : this->granted)
    {
        count += model.servable == servable ? 1 : 0;
    }
    return count;
}

} // namespace roseworks::tools
