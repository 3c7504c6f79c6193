#pragma once

#include "core/state/name_table.hpp"
#include "core/state/spec_fields.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>

namespace roseworks::detail
{

/// What every named entity has. Decided state.
template <class Spec>
struct named_row
{
    Spec spec;
    revision current; ///< 0: removed
    bool readable = true;
};

/// Archives what a row has besides; found by the row's own type.
template <class Io, class Spec>
void further_fields(Io&, const named_row<Spec>&)
{
}

/// Named entities by interned id. `Row` derives from `named_row` where an
/// entity has more than its spec. Decided state.
template <class Id, class Spec, class Row = named_row<Spec>>
class named_store
{
public:
    /// @return The id of an existing entity, else 0.
    Id find(std::string_view name) const
    {
        const Id id(this->names.find(name));
        return this->row(id) != nullptr ? id : Id();
    }

    /// @return The row of an existing entity, else null.
    const Row* row(Id id) const
    {
        if (!this->known(id))
            return nullptr;
        const Row& row = this->rows[id.value - 1];
        return row.current ? &row : nullptr;
    }

    Row* row(Id id)
    {
        return const_cast<Row*>(std::as_const(*this).row(id));
    }

    /// @return Whether the id was ever given.
    bool known(Id id) const
    {
        return id && id.value <= this->rows.size();
    }

    std::string_view name(Id id) const
    {
        return this->names.name(id.value);
    }

    Id put(std::string_view name, const Spec& spec, revision at)
    {
        Id id;
        Row& row = this->row_for(name, id);
        row.spec = spec;
        row.current = at;
        row.readable = true;
        return id;
    }

    /// Put an entity of a newer schema: what was read before is kept.
    Id put_unread(std::string_view name, revision at)
    {
        Id id;
        Row& row = this->row_for(name, id);
        row.current = at;
        row.readable = false;
        return id;
    }

    void remove(Id id)
    {
        this->rows[id.value - 1] = Row();
    }

    std::deque<Row>& all()
    {
        return this->rows;
    }

    const std::deque<Row>& all() const
    {
        return this->rows;
    }

    /// @return The number of ids given; removed entities count.
    std::size_t size() const
    {
        return this->rows.size();
    }

    template <class Writer>
    void save(Writer& out) const
    {
        this->names.save(out);
        for (const Row& row : this->rows)
            row_fields(out, row);
    }

    template <class Reader>
    void load(Reader& in)
    {
        this->names.load(in);
        for (std::size_t i = 0; i < this->names.size() && !in.failed(); ++i)
            row_fields(in, this->rows.emplace_back());
    }

private:
    template <class Io, class AnyRow>
    static void row_fields(Io& io, AnyRow& row)
    {
        fields(io, row.spec, newest_entity_schema);
        io.number(row.current);
        io.number(row.readable);
        further_fields(io, row);
    }

    Row& row_for(std::string_view name, Id& id)
    {
        id = Id(this->names.intern(name));
        if (id.value > this->rows.size())
            this->rows.emplace_back();
        return this->rows[id.value - 1];
    }

    name_table names;
    std::deque<Row> rows; ///< by id - 1
};

/// Entities that nothing else refers to.
using service_store = named_store<service_id, service_spec>;
using caller_store = named_store<caller_id, caller_spec>;

} // namespace roseworks::detail
