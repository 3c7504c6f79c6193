#include "core/state/config_fold.hpp"

#include "core/state/spec_rules.hpp"

#include <roseworks/names.hpp>

namespace roseworks::detail
{

namespace
{

/// @return `engine hall-a-e1: <what>`.
std::string about(const entity_change& change, std::string_view what)
{
    std::string text(to_string(change.kind));
    text += ' ';
    text += std::string_view(change.name).substr(0, name_table::max_length);
    text += ": ";
    text += what;
    return text;
}

fold_result invalid(const entity_change& change, std::string_view what)
{
    return reject(reject_reason::invalid_spec, about(change, what));
}

fold_result in_use(const entity_change& change, std::string_view what)
{
    return reject(reject_reason::entity_in_use, about(change, what));
}

bool refused(const fold_result& result)
{
    return result.status != fold_status::accepted;
}

/// @return Whether a change takes the entity away.
bool removes(const entity_change& change)
{
    return !change.spec && change.unread.empty();
}

} // namespace

config_fold::config_fold(fold_context& where, const config_change& what)
    : context(where)
    , data(where.data)
    , value(what)
{
}

fold_result config_fold::run()
{
    if (this->value.changes.empty())
        return reject(reject_reason::invalid_spec, "change without entities");
    for (const entity_change& change : this->value.changes)
    {
        const name_key key = key_of(change.kind, change.name);
        if (!this->staged.emplace(key, &change).second)
            return invalid(change, "named twice in one change");
    }
    for (const entity_change& change : this->value.changes)
        if (fold_result result = this->check(change); refused(result))
            return result;
    // Bases are put before the adapters that name them.
    for (const entity_change& change : this->value.changes)
        if (change.kind != entity_kind::adapter && !removes(change))
            this->perform(change);
    for (const entity_change& change : this->value.changes)
        if (change.kind == entity_kind::adapter || removes(change))
            this->perform(change);
    return accept();
}

config_fold::name_key
config_fold::key_of(entity_kind kind, std::string_view name)
{
    const bool adapter = kind == entity_kind::adapter;
    return {adapter ? entity_kind::model : kind, name};
}

const entity_change*
config_fold::pending(entity_kind kind, std::string_view name) const
{
    const auto found = this->staged.find(key_of(kind, name));
    return found == this->staged.end() ? nullptr : found->second;
}

fold_result config_fold::check(const entity_change& change) const
{
    if (fold_result result = this->check_names(change); refused(result))
        return result;
    const revision current = this->data.current(change.kind, change.name);
    if (current != change.expected)
        return reject(
            reject_reason::revision_moved,
            about(
                change,
                current
                    ? "was changed at offset " + std::to_string(current.value)
                    : std::string("doesn't exist")),
            log_offset(current.value));
    if (removes(change))
        return this->check_removal(change);
    if (change.schema > newest_entity_schema)
        return change.spec ? invalid(change, "spec: newer, yet decoded")
                           : accept();
    return this->check_put(change);
}

fold_result config_fold::check_names(const entity_change& change) const
{
    if (std::string problem = problem_in_name(change.name); !problem.empty())
        return invalid(change, problem);
    if (to_string(change.kind) == "entity" || change.schema == 0)
        return invalid(change, "kind or schema: unknown");
    if (change.kind == entity_kind::policy && change.name != policy_name)
        return invalid(change, "name: the only policy is named `policy`");
    if (change.kind != entity_kind::model &&
        change.kind != entity_kind::adapter)
        return accept();
    const servable_row* row =
        this->data.servables.row(this->data.servables.find(change.name));
    if (row != nullptr &&
        row->is_adapter != (change.kind == entity_kind::adapter))
        return invalid(
            change,
            row->is_adapter ? "name: an adapter has it"
                            : "name: a model has it");
    return accept();
}

fold_result config_fold::check_removal(const entity_change& change) const
{
    if (!change.expected)
        return reject(
            reject_reason::unknown_entity, about(change, "doesn't exist"));
    const std::uint32_t id = this->data.find(change.kind, change.name);
    if (change.kind == entity_kind::engine)
    {
        bool empty = true;
        this->data.replicas.each_on(
            engine_id(id),
            [&empty](const replica_view&)
            {
                empty = false;
            });
        if (this->data.grants.on(engine_id(id)) != nullptr)
            return in_use(
                change,
                "it has a standing grant; set draining and wait until it is "
                "closed");
        return empty ? accept()
                     : in_use(
                           change,
                           "replicas are on it; set draining and wait until "
                           "they are gone");
    }
    if (change.kind != entity_kind::model &&
        change.kind != entity_kind::adapter)
        return accept();
    if (this->data.committed_replicas(servable_id(id)) != 0)
        return in_use(
            change,
            "has replicas; set max_replicas 0 and wait until they are gone");
    if (this->adapters_left(servable_id(id)) != 0)
        return in_use(change, "adapters name it as base; remove them first");
    return accept();
}

fold_result config_fold::check_put(const entity_change& change) const
{
    if (!change.spec || kind_of(*change.spec) != change.kind)
        return invalid(change, "spec: of another kind");
    if (std::string problem = problem_in(*change.spec); !problem.empty())
        return invalid(change, problem);
    return std::visit(
        [&](const auto& spec)
        {
            return this->check_in_fleet(change, spec);
        },
        *change.spec);
}

fold_result config_fold::check_in_fleet(
    const entity_change& change, const adapter_spec& spec) const
{
    if (!this->model_will_exist(spec.base))
        return invalid(
            change,
            "base: there is no model `" +
                spec.base.substr(0, name_table::max_length) + "`");
    const servable_id id = this->data.servables.find(change.name);
    const servable_row* row = this->data.servables.row(id);
    if (row != nullptr && row->base &&
        this->data.servables.name(row->base) != spec.base &&
        this->data.replicas.count_of(id) != 0)
        return in_use(
            change,
            "base: replicas lie beside the old one; set max_replicas 0 and "
            "wait until they are gone");
    return accept();
}

fold_result config_fold::check_in_fleet(
    const entity_change& change, const engine_spec& spec) const
{
    const std::string_view other = this->engine_at(spec.address, change.name);
    if (!other.empty())
        return invalid(
            change, "address: engine " + std::string(other) + " has it");
    const engine_row* row =
        this->data.engines.row(this->data.engines.find(change.name));
    if (row == nullptr)
        return accept();
    const bool granted =
        this->data.grants.on(this->data.engines.find(change.name)) != nullptr;
    if (row->reserved_mib == 0 && !granted)
        return accept();
    if (spec.memory_mib < row->reserved_mib)
        return invalid(
            change,
            "memory_mib: " + std::to_string(row->reserved_mib) +
                " are reserved");
    if (spec.address != row->spec.address)
        return in_use(
            change, "address: replicas or a standing grant are on the old one");
    return accept();
}

template <class Spec>
fold_result config_fold::check_in_fleet(const entity_change&, const Spec&) const
{
    return accept();
}

bool config_fold::model_will_exist(std::string_view name) const
{
    if (const entity_change* change = this->pending(entity_kind::model, name))
        return change->kind == entity_kind::model && !removes(*change);
    return this->data.find(entity_kind::model, name) != 0;
}

std::size_t config_fold::adapters_left(servable_id model) const
{
    std::size_t left = this->data.servables.row(model)->dependents;
    for (const entity_change& change : this->value.changes)
    {
        if (left == 0)
            return 0;
        const servable_row* row =
            change.kind == entity_kind::adapter
                ? this->data.servables.row(
                      this->data.servables.find(change.name))
                : nullptr;
        // A put that keeps the base fails its own check.
        if (row != nullptr && row->base == model &&
            (removes(change) || change.spec))
            --left;
    }
    return left;
}

std::string_view config_fold::engine_at(
    std::string_view address, std::string_view other_than) const
{
    for (std::uint32_t i = 0; i < this->data.engines.all().size(); ++i)
    {
        const engine_row& row = this->data.engines.all()[i];
        if (!row.current || row.spec.address != address)
            continue;
        const std::string_view name = this->data.engines.name(engine_id(i + 1));
        if (name != other_than && !this->pending(entity_kind::engine, name))
            return name;
    }
    for (const entity_change& change : this->value.changes)
    {
        const auto* spec =
            change.spec ? std::get_if<engine_spec>(&*change.spec) : nullptr;
        if (spec != nullptr && spec->address == address &&
            change.name != other_than)
            return change.name;
    }
    return {};
}

void config_fold::perform(const entity_change& change)
{
    const revision at(this->context.offset.value);
    const bool removal = removes(change);
    std::uint32_t id = this->data.find(change.kind, change.name);
    if (id != 0)
        this->data.unread.erase({change.kind, id});
    if (removal)
        this->remove(change.kind, id);
    else if (change.schema > newest_entity_schema)
        id = this->put_unread(change, at);
    else
        id = this->put(change, at);
    state_change& effect = this->context.note(
        removal ? state_change::kind::entity_removed
                : state_change::kind::entity_put);
    effect.entity = change.kind;
    effect.entity_id = id;
}

std::uint32_t config_fold::put(const entity_change& change, revision at)
{
    const entity_spec& spec = *change.spec;
    switch (change.kind)
    {
    case entity_kind::model:
        return this->data.servables
            .put(change.name, std::get<model_spec>(spec), at)
            .value;
    case entity_kind::adapter:
        return this->data.servables
            .put(change.name, std::get<adapter_spec>(spec), at)
            .value;
    case entity_kind::engine:
        return this->data.engines
            .put(change.name, std::get<engine_spec>(spec), at)
            .value;
    case entity_kind::service:
        return this->data.services
            .put(change.name, std::get<service_spec>(spec), at)
            .value;
    case entity_kind::caller:
        return this->data.callers
            .put(change.name, std::get<caller_spec>(spec), at)
            .value;
    case entity_kind::policy:
        this->data.policy = {std::get<policy_spec>(spec), at, true};
        return 1;
    }
    return 0;
}

std::uint32_t config_fold::put_unread(const entity_change& change, revision at)
{
    std::uint32_t id = 1;
    switch (change.kind)
    {
    case entity_kind::model:
    case entity_kind::adapter:
        id = this->data.servables
                 .put_unread(
                     change.name, change.kind == entity_kind::adapter, at)
                 .value;
        break;
    case entity_kind::engine:
        id = this->data.engines.put_unread(change.name, at).value;
        break;
    case entity_kind::service:
        id = this->data.services.put_unread(change.name, at).value;
        break;
    case entity_kind::caller:
        id = this->data.callers.put_unread(change.name, at).value;
        break;
    case entity_kind::policy:
        this->data.policy.current = at;
        this->data.policy.readable = false;
        break;
    }
    this->data.unread[{change.kind, id}] = {change.schema, change.unread};
    return id;
}

void config_fold::remove(entity_kind kind, std::uint32_t id)
{
    switch (kind)
    {
    case entity_kind::model:
    case entity_kind::adapter:
        return this->data.servables.remove(servable_id(id));
    case entity_kind::engine:
        return this->remove_engine(engine_id(id));
    case entity_kind::service:
        return this->data.services.remove(service_id(id));
    case entity_kind::caller:
        return this->data.callers.remove(caller_id(id));
    case entity_kind::policy:
        this->data.policy = policy_row();
        return;
    }
}

void config_fold::remove_engine(engine_id id)
{
    engine_row& row = *this->data.engines.row(id);
    if (row.holder)
    {
        row.earlier.push_back(row.holder);
        state_change& freed =
            this->context.note(state_change::kind::lease_freed);
        freed.engine = id;
        freed.session = row.holder;
    }
    this->data.engines.remove(id);
}

} // namespace roseworks::detail
