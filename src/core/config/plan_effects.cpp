#include "core/config/plan_effects.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

constexpr std::uint64_t ms_per_second = 1000;

/// The replicas that a model or adapter asks for.
struct demand
{
    std::string name;
    std::uint32_t memory_mib = 0;
    std::uint32_t min_replicas = 0;
    std::uint32_t max_replicas = 0;
    std::uint32_t load_ms = 0;
    std::string version;
};

template <class Spec>
demand demand_of(const std::string& name, const Spec& spec)
{
    return {
        name,
        spec.memory_mib,
        spec.min_replicas,
        spec.max_replicas,
        spec.load_estimate_ms,
        spec.version};
}

std::vector<demand> demands_of(const desired_fleet& fleet)
{
    std::vector<demand> all;
    for (const desired_entity& entity : fleet.entities)
    {
        if (const auto* model = std::get_if<model_spec>(&entity.spec))
        {
            all.push_back(demand_of(entity.name, *model));
        }
        if (const auto* adapter = std::get_if<adapter_spec>(&entity.spec))
        {
            all.push_back(demand_of(entity.name, *adapter));
        }
    }
    return all;
}

struct replica_sums
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

replica_sums sum_replicas(const desired_fleet& fleet)
{
    replica_sums sums;
    for (const demand& wanted : demands_of(fleet))
    {
        sums.min += wanted.min_replicas;
        sums.max += wanted.max_replicas;
    }
    return sums;
}

void fill_engines(
    plan_effects& effects, const fleet_state& state, const desired_fleet& after)
{
    for (const desired_entity& entity : after.entities)
    {
        const auto* engine = std::get_if<engine_spec>(&entity.spec);
        if (engine == nullptr || engine->draining)
        {
            continue;
        }
        engine_worst_case line;
        line.name = entity.name;
        line.capacity_mib = engine->memory_mib;
        const auto now = state.engine(state.find_engine(entity.name));
        line.reserved_now_mib = now ? now->reserved_mib : 0;
        effects.capacity_mib += line.capacity_mib;
        effects.engines.push_back(std::move(line));
    }
}

bool place(plan_effects& effects, std::uint32_t memory_mib)
{
    const auto emptiest = std::max_element(
        effects.engines.begin(),
        effects.engines.end(),
        [](const engine_worst_case& left, const engine_worst_case& right)
        {
            return left.capacity_mib - left.worst_case_mib <
                   right.capacity_mib - right.worst_case_mib;
        });
    if (emptiest == effects.engines.end() ||
        emptiest->capacity_mib - emptiest->worst_case_mib < memory_mib)
    {
        return false;
    }
    emptiest->worst_case_mib += memory_mib;
    return true;
}

void fill_worst_case(plan_effects& effects, std::vector<demand> demands)
{
    std::stable_sort(
        demands.begin(),
        demands.end(),
        [](const demand& left, const demand& right)
        {
            return left.memory_mib > right.memory_mib;
        });
    for (const demand& wanted : demands)
    {
        for (std::uint32_t count = 0; count < wanted.max_replicas; ++count)
        {
            effects.declared_mib += wanted.memory_mib;
            effects.replicas_without_room +=
                place(effects, wanted.memory_mib) ? 0 : 1;
        }
    }
}

/// Loaded replicas of a servable, whatever their version.
std::uint32_t loaded_replicas(const fleet_state& state, servable_id servable)
{
    std::uint32_t count = 0;
    state.for_each_replica_of(
        servable,
        [&count](const replica_view&)
        {
            ++count;
        });
    return count;
}

/// Replicas to load: up to the minimum, and those whose version moves.
std::uint32_t loads_of(const fleet_state& state, const demand& wanted)
{
    const servable_id id = state.find_servable(wanted.name);
    const auto now = state.servable(id);
    const std::uint32_t loaded = now ? loaded_replicas(state, id) : 0;
    if (now && now->version != wanted.version)
    {
        const std::uint32_t reloaded = std::min(loaded, wanted.max_replicas);
        return std::max(reloaded, wanted.min_replicas);
    }
    return wanted.min_replicas > loaded ? wanted.min_replicas - loaded : 0;
}

void fill_loads(
    plan_effects& effects,
    const fleet_state& state,
    const std::vector<demand>& demands,
    const policy_spec& policy)
{
    std::uint64_t work_ms = 0;
    for (const demand& wanted : demands)
    {
        const std::uint32_t loads = loads_of(state, wanted);
        effects.loads += loads;
        work_ms += std::uint64_t(loads) * wanted.load_ms;
        const servable_id id = state.find_servable(wanted.name);
        const std::uint32_t loaded = id ? loaded_replicas(state, id) : 0;
        effects.replicas_gone +=
            loaded > wanted.max_replicas ? loaded - wanted.max_replicas : 0;
    }
    const std::uint64_t by_slots = work_ms / policy.store_slots;
    const std::uint64_t by_rate =
        effects.loads * ms_per_second / policy.store_loads_per_second;
    effects.load_time_ms = std::max(by_slots, by_rate);
}

policy_spec policy_of(const desired_fleet& fleet)
{
    const desired_entity* entity = fleet.find(entity_kind::policy, policy_name);
    return entity == nullptr ? policy_spec{}
                             : std::get<policy_spec>(entity->spec);
}

/// Warns of what is allowed but hardly meant.
void add_warnings(plan& made, const std::vector<demand>& demands)
{
    std::uint64_t largest = 0;
    for (const engine_worst_case& engine : made.effects.engines)
    {
        largest = std::max(largest, engine.capacity_mib);
    }
    std::uint64_t kept_mib = 0;
    for (const demand& wanted : demands)
    {
        kept_mib += std::uint64_t(wanted.min_replicas) * wanted.memory_mib;
        if (wanted.memory_mib > largest)
        {
            made.warnings.push_back(
                wanted.name + " needs " + std::to_string(wanted.memory_mib) +
                " MiB; the largest engine in use has " +
                std::to_string(largest));
        }
    }
    if (kept_mib > made.effects.capacity_mib)
    {
        made.warnings.push_back(
            "replicas kept ready need " + std::to_string(kept_mib) +
            " MiB; the engines in use have " +
            std::to_string(made.effects.capacity_mib));
    }
}

/// Finds adapters without their base model.
void add_problems(plan& made, const desired_fleet& after)
{
    for (const desired_entity& entity : after.entities)
    {
        const auto* adapter = std::get_if<adapter_spec>(&entity.spec);
        if (adapter != nullptr &&
            after.find(entity_kind::model, adapter->base) == nullptr)
        {
            made.problems.push_back(
                "adapter " + entity.name + ": no such model: " + adapter->base);
        }
    }
}

} // namespace

void fill_effects(
    plan& made, const fleet_state& state, const desired_fleet& after)
{
    const replica_sums now = sum_replicas(declared_fleet(state));
    const replica_sums then = sum_replicas(after);
    const std::vector<demand> demands = demands_of(after);
    made.effects.max_replicas_added = then.max - now.max;
    made.effects.min_replicas_added = then.min - now.min;
    fill_engines(made.effects, state, after);
    fill_worst_case(made.effects, demands);
    fill_loads(made.effects, state, demands, policy_of(after));
    add_warnings(made, demands);
    add_problems(made, after);
}

} // namespace roseworks::detail
