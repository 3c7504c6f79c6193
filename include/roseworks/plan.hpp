#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/record.hpp>
#include <roseworks/record_text.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// One field that a change moves.
struct field_difference
{
    std::string_view field;
    std::string before; ///< empty when the entity is new
    std::string after;  ///< empty when it is removed
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

/// One step of a plan. `change` names the revision that was planned against.
struct planned_change
{
    planned_action action = planned_action::add;
    entity_change change;
    std::vector<field_difference> fields;
};

/// An engine's memory if every declared replica were loaded, placed largest
/// first on the engine with the most free memory. An estimate.
struct engine_worst_case
{
    std::string name;
    std::uint64_t capacity_mib = 0;
    std::uint64_t reserved_now_mib = 0;
    std::uint64_t worst_case_mib = 0;
};

/// What a plan leads to, beside the records themselves.
struct plan_effects
{
    std::int64_t max_replicas_added = 0; ///< negative: removed
    std::int64_t min_replicas_added = 0;
    std::uint64_t declared_mib = 0; ///< memory of all declared replicas
    std::uint64_t capacity_mib = 0; ///< memory of all engines in use
    std::uint32_t replicas_without_room = 0;
    std::vector<engine_worst_case> engines;
    std::uint32_t loads = 0;         ///< replicas to load now
    std::uint32_t replicas_gone = 0; ///< loaded replicas above their maximum
    /// Time of the loads at the weight store's slots and rate.
    std::uint64_t load_time_ms = 0;
};

/// The way from the decided state to a desired text.
struct plan
{
    log_offset at; ///< state it was made against
    std::vector<planned_change> changes;
    plan_effects effects;
    std::vector<std::string> warnings;
    std::vector<std::string> problems; ///< the fold would reject these

    /// @return The changes for a `config_change`.
    std::vector<entity_change> entity_changes() const;
};

/// Options of `make_plan`.
struct plan_options
{
    bool prune = false; ///< remove what the text doesn't name
};

/** Compare the decided state with a desired text.

    Removals come first adapters, then the rest; additions first models, then
    adapters, so that the changes are valid in their order.

    @param state   The folded state.
    @param wanted  The desired text.
    @param options See there.
    @return        What to change, with the expected revisions.
*/
plan make_plan(
    const fleet_state& state,
    const desired_fleet& wanted,
    plan_options options);

/** Everything that is declared now, as a text's content.

    @param state The folded state.
    @return      Its readable entities in the newest schema, by kind and name.
*/
desired_fleet declared_fleet(const fleet_state& state);

} // namespace roseworks
