#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>
#include <roseworks/record_text.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// One field whose value changes.
struct field_difference
{
    std::string_view field;
    std::string before; ///< empty if the entity is new
    std::string after;  ///< empty if the entity is removed
};

/// @return The fields in which two specs differ; either may be absent.
std::vector<field_difference> differences(
    const std::optional<entity_spec>& before,
    const std::optional<entity_spec>& after);

/// What happens to an entity.
enum class planned_action : std::uint8_t
{
    add,
    change,
    remove
};

/// @return `add`, `change` or `remove`.
std::string_view to_string(planned_action action);

/// One step of a plan. `change` names the revision on which it is based.
struct planned_change
{
    planned_action action = planned_action::add;
    entity_change change;
    std::vector<field_difference> fields;
};

/// Estimate of an engine's memory use if every declared replica were loaded.
/// Replicas are placed in order of size, largest first, each on the engine with
/// the most free memory.
struct engine_worst_case
{
    std::string name;
    std::uint64_t capacity_mib = 0;
    std::uint64_t reserved_now_mib = 0;
    std::uint64_t worst_case_mib = 0;
};

/// Expected effects of applying a plan.
struct plan_effects
{
    std::int64_t max_replicas_added = 0; ///< negative: removed
    std::int64_t min_replicas_added = 0;
    std::uint64_t declared_mib = 0; ///< memory of all declared replicas
    std::uint64_t capacity_mib = 0; ///< memory of all engines in use
    std::uint32_t replicas_without_room = 0;
    std::vector<engine_worst_case> engines;
    std::uint32_t loads = 0;         ///< replicas to load now
    std::uint32_t replicas_gone = 0; ///< loaded replicas above the new maximum
    /// Duration of the loads, limited by the weight store's slots and rate.
    std::uint64_t load_time_ms = 0;
};

/// The changes that turn the decided state into the desired one.
struct plan
{
    log_offset at; ///< offset of the state on which the plan is based
    std::vector<planned_change> changes;
    plan_effects effects;
    std::vector<std::string> warnings;
    std::vector<std::string>
        problems; ///< reasons for which the fold would reject the plan

    /// @return The changes for a `config_change`.
    std::vector<entity_change> entity_changes() const;
};

/// Options of `make_plan`.
struct plan_options
{
    bool prune = false; ///< remove entities that the text doesn't declare
};

/** Compare the decided state with the desired one.

    Adapters are removed before other entities, and models are added before
    adapters, so that the changes are valid in their order.

    @param state   The folded state.
    @param wanted  The content of the desired text.
    @param options See `plan_options`.
    @return        The changes, with the expected revisions.
*/
plan make_plan(
    const fleet_state& state,
    const desired_fleet& wanted,
    plan_options options);

/** All entities that are declared now, as the content of a text of records.

    @param state The folded state.
    @return      Its readable entities in the newest schema, sorted by kind and
                 name.
*/
desired_fleet declared_fleet(const fleet_state& state);

} // namespace roseworks
