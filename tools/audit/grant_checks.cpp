#include "tools/audit/invariant_checker.hpp"
#include "tools/audit/servable_figures.hpp"
#include "tools/audit/violation_text.hpp"
#include "tools/common/trail.hpp"

#include <algorithm>

namespace roseworks::tools
{

void invariant_checker::restore_grant(
    const fleet_state& state, const engine_view& engine)
{
    const auto grant = state.standing_grant(engine.id);
    if (!grant)
    {
        return;
    }
    this->grants[std::string(engine.name)] = {
        grant->held, grant->memory_mib, grant->loads};
}

void invariant_checker::drop_grant(const std::string& engine, fence held)
{
    const auto grant = this->grants.find(engine);
    if (grant == this->grants.end() || grant->second.held != held)
    {
        return;
    }
    this->grants.erase(grant);
    std::erase_if(
        this->granted,
        [&engine](const auto& model)
        {
            return model.second.engine == engine;
        });
}

void invariant_checker::require_holder(
    const std::string& engine, engine_id id, session_id session)
{
    this->require_live(session, "speaks of a grant");
    this->require(
        this->leases[id].holder == session,
        about("engine", engine) + "grant of session " +
            std::to_string(session.value) + ", which doesn't hold the lease");
}

void invariant_checker::require_proof(const std::string& engine, engine_id id)
{
    const auto* spec = this->spec_of<engine_spec>(entity_kind::engine, engine);
    const bool ignores =
        spec != nullptr && spec->fencing == fencing_kind::ignores;
    this->require(
        !ignores || this->leases[id].lapsed.empty(),
        about("engine", engine) +
            "grant freed while an old holder's order may arrive");
}

replica_id invariant_checker::converted(
    const std::string& servable,
    const std::string& engine,
    revision expected) const
{
    for (const auto& [id, model] : this->granted)
    {
        if (model.servable == servable && model.engine == engine &&
            model.servable_revision == expected)
        {
            return id;
        }
    }
    return replica_id();
}

void invariant_checker::check_count(
    const std::string& servable, std::uint32_t maximum)
{
    const std::uint32_t count = this->replicas_of(servable) + 1;
    this->require(
        count <= maximum,
        about("model", servable) + std::to_string(count) +
            " replicas, maximum " + std::to_string(maximum));
}

void invariant_checker::check_memory(
    const std::string& engine, std::uint64_t more)
{
    const auto* spec = this->spec_of<engine_spec>(entity_kind::engine, engine);
    const std::uint64_t reserved = this->reserved_on(engine) + more;
    const std::uint64_t capacity = spec == nullptr ? 0 : spec->memory_mib;
    this->require(
        reserved <= capacity,
        about("engine", engine) + std::to_string(reserved) +
            " MiB reserved of " + std::to_string(capacity));
}

const invariant_checker::entity_account*
invariant_checker::servable_account(const std::string& servable) const
{
    auto known = this->entities.find({entity_kind::model, servable});
    if (known == this->entities.end())
    {
        known = this->entities.find({entity_kind::adapter, servable});
    }
    return known == this->entities.end() ? nullptr : &known->second;
}

void invariant_checker::check(const step& now, const grant_open& value)
{
    const std::string engine = engine_name(now.state, value.engine);
    this->require_holder(engine, value.engine, value.session);
    this->sessions[value.session].last_renewal = now.entry.offset;
    const auto before = this->grants.find(engine);
    const bool known = before != this->grants.end();
    const bool own = known && before->second.held == value.held;
    if (value.memory_mib == 0)
    {
        this->require(known, about("engine", engine) + "no grant to close");
        if (known && !own)
        {
            this->require_proof(engine, value.engine);
        }
        this->grants.erase(engine);
        return;
    }
    this->require(
        !known || own, about("engine", engine) + "grant opened over another's");
    const std::uint32_t had = known ? before->second.memory_mib : 0;
    const std::uint32_t loads = known ? before->second.loads : 0;
    this->grants[engine] = {value.held, value.memory_mib, value.loads};
    if (value.memory_mib > had)
    {
        this->check_memory(engine, 0);
    }
    if (value.loads > loads)
    {
        this->check_slots();
    }
}

void invariant_checker::check(const step& now, const grant_model& value)
{
    const std::string servable = servable_name(now.state, value.servable);
    const std::string engine = engine_name(now.state, value.engine);
    this->require_holder(engine, value.engine, value.session);
    const entity_account* const known = this->servable_account(servable);
    const auto grant = this->grants.find(engine);
    if (known == nullptr || !known->spec || grant == this->grants.end())
    {
        this->require(false, about("model", servable) + "granted of nothing");
        return;
    }
    this->require(
        known->current == value.servable_revision,
        about("model", servable) + "granted for an old revision");
    this->check_count(servable, maximum_of(*known->spec));
    this->granted[replica_id(now.entry.offset.value)] = {
        servable,
        engine,
        value.held,
        memory_of(*known->spec),
        value.servable_revision};
}

void invariant_checker::check(const step& now, const grant_settle& value)
{
    const auto model = this->granted.find(value.replica);
    if (model == this->granted.end())
    {
        this->require(false, about(value.replica) + "settled, yet not granted");
        return;
    }
    const granted_account was = model->second;
    const engine_id id = now.state.find_engine(was.engine);
    this->require_holder(was.engine, id, value.session);
    this->granted.erase(model);
    if (!value.used)
    {
        if (was.held != value.held)
        {
            this->require_proof(was.engine, id);
        }
        return;
    }
    grant_account& grant = this->grants[was.engine];
    this->require(
        was.memory_mib <= grant.memory_mib,
        about(value.replica) + "uses more than its grant has");
    grant.memory_mib -= std::min(was.memory_mib, grant.memory_mib);
    this->replicas[value.replica] = {
        was.servable, was.engine, was.memory_mib, replica_state::decided};
}

} // namespace roseworks::tools
