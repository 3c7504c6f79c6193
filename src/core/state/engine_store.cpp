#include "core/state/engine_store.hpp"

#include <algorithm>
#include <utility>

namespace roseworks::detail
{

void engine_store::remove(engine_id id)
{
    engine_row& row = this->all()[id.value - 1];
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

} // namespace roseworks::detail
