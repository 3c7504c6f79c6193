#include "core/state/engine_store.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

engine_id engine_store::find(std::string_view name) const
{
    const engine_id id(this->names.find(name));
    return this->row(id) != nullptr ? id : engine_id();
}

const engine_row* engine_store::row(engine_id id) const
{
    if (!this->known(id) || !this->rows[id.value - 1].current)
        return nullptr;
    return &this->rows[id.value - 1];
}

engine_row* engine_store::row(engine_id id)
{
    return const_cast<engine_row*>(std::as_const(*this).row(id));
}

engine_id
engine_store::put(std::string_view name, const engine_spec& spec, revision at)
{
    engine_id id;
    engine_row& row = this->row_for(name, id);
    row.spec = spec;
    row.current = at;
    row.readable = true;
    return id;
}

engine_id engine_store::put_unread(std::string_view name, revision at)
{
    engine_id id;
    engine_row& row = this->row_for(name, id);
    row.current = at;
    row.readable = false;
    return id;
}

void engine_store::remove(engine_id id)
{
    engine_row& row = this->rows[id.value - 1];
    std::vector<session_id> earlier = std::move(row.earlier);
    row = engine_row();
    row.earlier = std::move(earlier);
}

std::optional<engine_view> engine_store::view(engine_id id) const
{
    const engine_row* row = this->row(id);
    if (row == nullptr)
        return std::nullopt;
    engine_view view;
    view.id = id;
    view.name = this->name(id);
    view.current = row->current;
    view.spec = &row->spec;
    view.readable = row->readable;
    view.reserved_mib = row->reserved_mib;
    view.holder = row->holder;
    view.held = row->held;
    return view;
}

bool engine_store::order_may_be_in_flight(engine_id id) const
{
    const engine_row* row = this->row(id);
    return row != nullptr && row->spec.fencing == fencing_kind::ignores &&
           !row->earlier.empty();
}

bool engine_store::former_holder(engine_id id, session_id session) const
{
    const engine_row* row = this->row(id);
    return row != nullptr &&
           std::find(row->earlier.begin(), row->earlier.end(), session) !=
               row->earlier.end();
}

engine_row& engine_store::row_for(std::string_view name, engine_id& id)
{
    id = engine_id(this->names.intern(name));
    if (id.value > this->rows.size())
        this->rows.emplace_back();
    return this->rows[id.value - 1];
}

} // namespace roseworks::detail
