#include "core/config/plan_effects.hpp"

#include <roseworks/plan.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace roseworks
{

namespace
{

/// Names an entity; the text is borrowed.
using entity_key = std::pair<entity_kind, std::string_view>;

/// Order of changes within a record: bases before what is built on them.
unsigned rank(const planned_change& step)
{
    const bool removal = step.action == planned_action::remove;
    const bool is_adapter = step.change.kind == entity_kind::adapter;
    if (removal)
    {
        return is_adapter ? 0 : 3;
    }
    return is_adapter ? 2 : 1;
}

planned_change put_step(
    const fleet_state& state,
    const desired_entity& entity,
    const std::optional<entity_spec>& before)
{
    planned_change step;
    step.change.kind = entity.kind();
    step.change.name = entity.name;
    step.change.expected = state.entity_revision(entity.kind(), entity.name);
    step.change.schema = entity.schema;
    step.change.spec = entity.spec;
    step.action =
        step.change.expected ? planned_action::change : planned_action::add;
    step.fields = differences(before, step.change.spec);
    return step;
}

planned_change
remove_step(const fleet_state& state, const desired_entity& entity)
{
    planned_change step;
    step.action = planned_action::remove;
    step.change.kind = entity.kind();
    step.change.name = entity.name;
    step.change.expected = state.entity_revision(entity.kind(), entity.name);
    step.fields = differences(entity.spec, std::nullopt);
    return step;
}

void add_puts(plan& made, const fleet_state& state, const desired_fleet& wanted)
{
    for (const desired_entity& entity : wanted.entities)
    {
        const auto before = state.entity(entity.kind(), entity.name);
        if (before == entity.spec)
        {
            continue;
        }
        if (!before && state.entity_revision(entity.kind(), entity.name))
        {
            made.problems.push_back(
                std::string(to_string(entity.kind())) + ' ' + entity.name +
                ": published in a schema newer than this program's");
            continue;
        }
        made.changes.push_back(put_step(state, entity, before));
    }
}

void add_removals(
    plan& made, const fleet_state& state, const desired_fleet& wanted)
{
    std::set<entity_key> named;
    for (const desired_entity& entity : wanted.entities)
    {
        named.emplace(entity.kind(), entity.name);
    }
    for (const desired_entity& entity : declared_fleet(state).entities)
    {
        // The policy always stands; without a record its defaults hold.
        const bool stays = entity.kind() == entity_kind::policy ||
                           named.contains({entity.kind(), entity.name});
        if (!stays)
        {
            made.changes.push_back(remove_step(state, entity));
        }
    }
}

/// What is declared once the plan is in force.
desired_fleet after_plan(const fleet_state& state, const plan& made)
{
    desired_fleet fleet = declared_fleet(state);
    std::set<entity_key> touched;
    for (const planned_change& step : made.changes)
    {
        touched.emplace(step.change.kind, step.change.name);
    }
    std::erase_if(
        fleet.entities,
        [&touched](const desired_entity& entity)
        {
            return touched.contains({entity.kind(), entity.name});
        });
    for (const planned_change& step : made.changes)
    {
        if (step.change.spec)
        {
            fleet.entities.push_back(
                {step.change.name, step.change.schema, *step.change.spec, 0});
        }
    }
    return fleet;
}

void add_named(
    desired_fleet& fleet,
    const fleet_state& state,
    entity_kind kind,
    std::string_view name)
{
    auto spec = state.entity(kind, name);
    if (spec)
    {
        fleet.entities.push_back(
            {std::string(name), newest_entity_schema, std::move(*spec), 0});
    }
}

} // namespace

std::vector<field_difference> differences(
    const std::optional<entity_spec>& before,
    const std::optional<entity_spec>& after)
{
    std::vector<field_difference> found;
    const std::vector<field_text> none;
    const auto old_fields = before ? fields_of(*before) : none;
    const auto new_fields = after ? fields_of(*after) : none;
    const std::size_t count = std::max(old_fields.size(), new_fields.size());
    for (std::size_t index = 0; index < count; ++index)
    {
        field_difference difference;
        if (before)
        {
            difference.field = old_fields[index].name;
            difference.before = old_fields[index].value;
        }
        if (after)
        {
            difference.field = new_fields[index].name;
            difference.after = new_fields[index].value;
        }
        if (difference.before != difference.after)
        {
            found.push_back(std::move(difference));
        }
    }
    return found;
}

std::string_view to_string(planned_action action)
{
    switch (action)
    {
    case planned_action::add:
        return "add";
    case planned_action::change:
        return "change";
    case planned_action::remove:
        return "remove";
    }
    return "unknown";
}

std::vector<entity_change> plan::entity_changes() const
{
    std::vector<entity_change> all;
    for (const planned_change& step : this->changes)
    {
        all.push_back(step.change);
    }
    return all;
}

plan make_plan(
    const fleet_state& state, const desired_fleet& wanted, plan_options options)
{
    plan made;
    made.at = state.folded();
    add_puts(made, state, wanted);
    if (options.prune)
    {
        add_removals(made, state, wanted);
    }
    std::stable_sort(
        made.changes.begin(),
        made.changes.end(),
        [](const planned_change& left, const planned_change& right)
        {
            return rank(left) < rank(right);
        });
    detail::fill_effects(made, state, after_plan(state, made));
    return made;
}

desired_fleet declared_fleet(const fleet_state& state)
{
    desired_fleet fleet;
    add_named(fleet, state, entity_kind::policy, policy_name);
    state.for_each_engine(
        [&](const engine_view& engine)
        {
            add_named(fleet, state, entity_kind::engine, engine.name);
        });
    state.for_each_servable(
        [&](const servable_view& servable)
        {
            const entity_kind kind =
                servable.is_adapter ? entity_kind::adapter : entity_kind::model;
            add_named(fleet, state, kind, servable.name);
        });
    state.for_each_service(
        [&](service_id, std::string_view name)
        {
            add_named(fleet, state, entity_kind::service, name);
        });
    state.for_each_caller(
        [&](caller_id, std::string_view name)
        {
            add_named(fleet, state, entity_kind::caller, name);
        });
    std::sort(
        fleet.entities.begin(),
        fleet.entities.end(),
        [](const desired_entity& left, const desired_entity& right)
        {
            if (left.kind() != right.kind())
            {
                return left.kind() < right.kind();
            }
            return left.name < right.name;
        });
    return fleet;
}

} // namespace roseworks
