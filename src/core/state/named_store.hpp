#pragma once

#include "core/state/name_table.hpp"
#include "core/state/spec_fields.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <deque>
#include <string_view>

namespace roseworks::detail
{

/// Entities that nothing else refers to (services, callers), by interned id.
/// Decided state.
template <class Id, class Spec>
class named_store
{
public:
    struct row_type
    {
        Spec spec;
        revision current; ///< 0: removed
        bool readable = true;
    };

    /// @return The id of an existing entity, else 0.
    Id find(std::string_view name) const
    {
        const Id id(this->names.find(name));
        return this->row(id) != nullptr ? id : Id();
    }

    /// @return The row of an existing entity, else null.
    const row_type* row(Id id) const
    {
        if (!id || id.value > this->rows.size())
            return nullptr;
        const row_type& row = this->rows[id.value - 1];
        return row.current ? &row : nullptr;
    }

    std::string_view name(Id id) const
    {
        return this->names.name(id.value);
    }

    Id put(std::string_view name, const Spec& spec, revision at)
    {
        Id id;
        row_type& row = this->row_for(name, id);
        row = {spec, at, true};
        return id;
    }

    /// Put an entity of a newer schema: what was read before is kept.
    Id put_unread(std::string_view name, revision at)
    {
        Id id;
        row_type& row = this->row_for(name, id);
        row.current = at;
        row.readable = false;
        return id;
    }

    void remove(Id id)
    {
        this->rows[id.value - 1] = row_type();
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
        for (const row_type& row : this->rows)
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
    template <class Io, class Row>
    static void row_fields(Io& io, Row& row)
    {
        fields(io, row.spec, newest_entity_schema);
        io.number(row.current);
        io.number(row.readable);
    }

    row_type& row_for(std::string_view name, Id& id)
    {
        id = Id(this->names.intern(name));
        if (id.value > this->rows.size())
            this->rows.emplace_back();
        return this->rows[id.value - 1];
    }

    name_table names;
    std::deque<row_type> rows; ///< by id - 1
};

using service_store = named_store<service_id, service_spec>;
using caller_store = named_store<caller_id, caller_spec>;

} // namespace roseworks::detail
