#include "core/state/servable_store.hpp"

#include <cassert>
#include <string>

namespace roseworks::detail
{

servable_id servable_store::find(std::string_view name) const
{
    const servable_id id(this->names.find(name));
    return this->row(id) != nullptr ? id : servable_id();
}

const servable_row* servable_store::row(servable_id id) const
{
    if (!id || id.value > this->rows.size())
        return nullptr;
    const servable_row& row = this->rows[id.value - 1];
    return row.current ? &row : nullptr;
}

servable_id
servable_store::put(std::string_view name, const model_spec& spec, revision at)
{
    servable_id id;
    servable_row& row = this->row_for(name, id);
    this->unlink_base(row);
    row.current = at;
    row.version = this->versions.intern(spec.version);
    row.memory_mib = spec.memory_mib;
    row.load_estimate_ms = spec.load_estimate_ms;
    row.min_replicas = spec.min_replicas;
    row.max_replicas = spec.max_replicas;
    row.accelerators = spec.accelerators;
    row.max_streams = spec.max_streams;
    row.is_adapter = false;
    row.readable = true;
    return id;
}

servable_id servable_store::put(
    std::string_view name, const adapter_spec& spec, revision at)
{
    servable_id id;
    servable_row& row = this->row_for(name, id);
    this->unlink_base(row);
    row.current = at;
    row.version = this->versions.intern(spec.version);
    row.base = this->find(spec.base);
    assert(row.base);
    ++this->rows[row.base.value - 1].dependents;
    row.memory_mib = spec.memory_mib;
    row.load_estimate_ms = spec.load_estimate_ms;
    row.min_replicas = spec.min_replicas;
    row.max_replicas = spec.max_replicas;
    row.accelerators = 0;
    row.max_streams = 0;
    row.is_adapter = true;
    row.readable = true;
    return id;
}

servable_id
servable_store::put_unread(std::string_view name, bool is_adapter, revision at)
{
    servable_id id;
    servable_row& row = this->row_for(name, id);
    row.current = at;
    row.is_adapter = is_adapter;
    row.readable = false;
    return id;
}

void servable_store::remove(servable_id id)
{
    servable_row& row = this->rows[id.value - 1];
    this->unlink_base(row);
    const std::uint32_t dependents = row.dependents;
    row = servable_row();
    row.dependents = dependents;
}

std::optional<servable_view> servable_store::view(servable_id id) const
{
    const servable_row* row = this->row(id);
    if (row == nullptr)
        return std::nullopt;
    servable_view view;
    view.id = id;
    view.name = this->name(id);
    view.current = row->current;
    view.is_adapter = row->is_adapter;
    view.readable = row->readable;
    view.base = row->base;
    view.version = this->versions.name(row->version);
    view.memory_mib = row->memory_mib;
    view.min_replicas = row->min_replicas;
    view.max_replicas = row->max_replicas;
    view.accelerators = row->accelerators;
    view.max_streams = row->max_streams;
    view.load_estimate_ms = row->load_estimate_ms;
    if (const servable_row* base = this->row(row->base))
        view.max_streams = base->max_streams;
    return view;
}

entity_spec servable_store::spec(servable_id id) const
{
    const servable_row& row = this->rows[id.value - 1];
    const std::string version(this->versions.name(row.version));
    if (row.is_adapter)
        return adapter_spec{
            std::string(this->name(row.base)),
            version,
            row.memory_mib,
            row.min_replicas,
            row.max_replicas,
            row.load_estimate_ms};
    return model_spec{
        version,
        row.memory_mib,
        row.min_replicas,
        row.max_replicas,
        row.accelerators,
        row.max_streams,
        row.load_estimate_ms};
}

servable_row& servable_store::row_for(std::string_view name, servable_id& id)
{
    id = servable_id(this->names.intern(name));
    if (id.value > this->rows.size())
        this->rows.emplace_back();
    return this->rows[id.value - 1];
}

void servable_store::unlink_base(servable_row& row)
{
    if (row.base)
        --this->rows[row.base.value - 1].dependents;
    row.base = servable_id();
}

bool servable_store::link()
{
    for (servable_row& row : this->rows)
    {
        if (row.version > this->versions.size())
            return false;
        if (!row.base)
            continue;
        if (row.base.value > this->rows.size())
            return false;
        ++this->rows[row.base.value - 1].dependents;
    }
    return true;
}

} // namespace roseworks::detail
