#pragma once

#include "core/state/name_table.hpp"
#include "core/state/spec_fields.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/// An engine and its lease.
struct engine_row
{
    engine_spec spec;
    revision current; ///< 0: removed
    bool readable = true;
    std::uint32_t reserved_mib = 0;
    session_id holder;
    fence held;
    /// Former holders that are neither proven gone nor have released, oldest
    /// first: an order of theirs may still arrive.
    std::vector<session_id> earlier;
};

/// The engines and their leases, by interned id. Decided state.
class engine_store
{
public:
    /// @return The id of an existing engine, else 0.
    engine_id find(std::string_view name) const;

    /// @return The row of an existing engine, else null.
    const engine_row* row(engine_id id) const;
    engine_row* row(engine_id id);

    std::string_view name(engine_id id) const
    {
        return this->names.name(id.value);
    }

    /// @return Whether the id was ever given.
    bool known(engine_id id) const
    {
        return id && id.value <= this->rows.size();
    }

    engine_id put(std::string_view name, const engine_spec& spec, revision at);

    /// Put an entity of a newer schema: what was read before is kept.
    engine_id put_unread(std::string_view name, revision at);

    /// Remove an engine without replicas. Its former holders are remembered.
    void remove(engine_id id);

    std::optional<engine_view> view(engine_id id) const;

    /// @return Whether a former holder's order may reach an engine that
    ///         doesn't check fencing numbers.
    bool order_may_be_in_flight(engine_id id) const;

    /// @return Whether the session is among the engine's former holders.
    bool former_holder(engine_id id, session_id session) const;

    std::deque<engine_row>& all()
    {
        return this->rows;
    }

    const std::deque<engine_row>& all() const
    {
        return this->rows;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        this->names.save(out);
        for (const engine_row& row : this->rows)
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
        io.number(row.holder);
        io.number(row.held);
        io.list(
            row.earlier,
            [&io](auto& session)
            {
                io.number(session);
            });
    }

    engine_row& row_for(std::string_view name, engine_id& id);

    name_table names;
    std::deque<engine_row> rows; ///< by id - 1
};

} // namespace roseworks::detail
