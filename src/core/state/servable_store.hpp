#pragma once

#include "core/state/name_table.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/specs.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

namespace roseworks::detail
{

/// A model or adapter; 40 bytes, as there are tens of thousands.
struct servable_row
{
    revision current;          ///< 0: removed
    std::uint32_t version = 0; ///< number in the version table
    servable_id base;          ///< adapters only
    std::uint32_t memory_mib = 0;
    std::uint32_t load_estimate_ms = 0;
    std::uint32_t dependents = 0; ///< models: adapters that name it as base
    std::uint16_t min_replicas = 0;
    std::uint16_t max_replicas = 0;
    std::uint16_t accelerators = 0;
    std::uint16_t max_streams = 0;
    bool is_adapter = false;
    bool readable = true;
};

/// The models and adapters, by interned id. Decided state.
class servable_store
{
public:
    /// @return The id of an existing servable, else 0.
    servable_id find(std::string_view name) const;

    /// @return The row of an existing servable, else null.
    const servable_row* row(servable_id id) const;

    std::string_view name(servable_id id) const
    {
        return this->names.name(id.value);
    }

    /// @return Keeps the names handed out valid, also without the store.
    std::shared_ptr<const void> names_owner() const
    {
        return this->names.owner();
    }

    /// Put a model. @return Its id.
    servable_id put(std::string_view name, const model_spec&, revision at);

    /// Put an adapter whose base exists. @return Its id.
    servable_id put(std::string_view name, const adapter_spec&, revision at);

    /// Put an entity of a newer schema: what was read before is kept.
    servable_id put_unread(std::string_view name, bool is_adapter, revision at);

    void remove(servable_id id);

    std::optional<servable_view> view(servable_id id) const;
    entity_spec spec(servable_id id) const;

    /// @return The number of ids given; removed servables count.
    std::size_t size() const
    {
        return this->rows.size();
    }

    template <class Writer>
    void save(Writer& out) const
    {
        this->names.save(out);
        this->versions.save(out);
        for (const servable_row& row : this->rows)
            fields(out, row);
    }

    template <class Reader>
    void load(Reader& in)
    {
        this->names.load(in);
        this->versions.load(in);
        for (std::size_t i = 0; i < this->names.size() && !in.failed(); ++i)
            fields(in, this->rows.emplace_back());
        if (!in.failed() && !this->link())
            in.fail("servable with an unknown version or base");
    }

private:
    template <class Io, class Row>
    static void fields(Io& io, Row& row)
    {
        io.number(row.current);
        io.number(row.version);
        io.number(row.base);
        io.number(row.memory_mib);
        io.number(row.load_estimate_ms);
        io.number(row.min_replicas);
        io.number(row.max_replicas);
        io.number(row.accelerators);
        io.number(row.max_streams);
        io.number(row.is_adapter);
        io.number(row.readable);
    }

    servable_row& row_for(std::string_view name, servable_id& id);
    void unlink_base(servable_row& row);
    bool link();

    name_table names;
    name_table versions;
    std::deque<servable_row> rows; ///< by id - 1
};

} // namespace roseworks::detail
