#include "core/state/replica_store.hpp"

namespace roseworks::detail
{

const replica_view* replica_store::find(replica_id id) const
{
    const auto found = this->rows.find(id);
    return found == this->rows.end() ? nullptr : &found->second;
}

void replica_store::add(const replica_view& decided)
{
    this->rows.emplace(decided.id, decided);
    this->servables.emplace(decided.servable, decided.id);
    this->engines.emplace(decided.engine, decided.id);
    if (decided.state == replica_state::decided)
        this->waiting.emplace(decided.urgency, decided.id);
    if (decided.holds_slot)
        ++this->slots;
}

void replica_store::move(replica_id id, replica_state to, log_offset at)
{
    replica_view& row = this->rows.at(id);
    this->leave_slot(row);
    row.state = to;
    row.last_change = at;
    if (to != replica_state::gone)
        return;
    this->servables.erase({row.servable, id});
    this->engines.erase({row.engine, id});
    this->rows.erase(id);
}

void replica_store::grant(replica_id id, stamp_ms not_before, log_offset at)
{
    this->move(id, replica_state::loading, at);
    replica_view& row = this->rows.at(id);
    row.holds_slot = true;
    row.slot_not_before = not_before;
    ++this->slots;
}

replica_id replica_store::next_waiting() const
{
    return this->waiting.empty() ? replica_id() : this->waiting.begin()->second;
}

std::size_t replica_store::count_of(servable_id id) const
{
    std::size_t count = 0;
    this->each_of(
        id,
        [&count](const replica_view&)
        {
            ++count;
        });
    return count;
}

bool replica_store::has_adapters(const replica_view& base) const
{
    bool found = false;
    this->each_on(
        base.engine,
        [&](const replica_view& other)
        {
            found = found || other.base == base.id;
        });
    return found;
}

void replica_store::leave_slot(replica_view& row)
{
    if (row.state == replica_state::decided)
        this->waiting.erase({row.urgency, row.id});
    if (!row.holds_slot)
        return;
    row.holds_slot = false;
    --this->slots;
}

} // namespace roseworks::detail
