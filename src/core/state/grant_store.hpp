#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace roseworks::detail
{

/// The standing grants: one an engine, and the models of each. Decided state.
class grant_store
{
public:
    /// @return The engine's grant, null when it has none.
    const standing_grant_view* on(engine_id engine) const;

    /// Put a grant in place of the engine's.
    void put(const standing_grant_view& grant);

    /// Take an engine's grant away; it has no models.
    void close(engine_id engine);

    /** Take memory from a grant that has as much.

        @param engine     The grant's engine.
        @param memory_mib What its next replica holds from now on.
    */
    void spend(engine_id engine, std::uint32_t memory_mib);

    /** Take away what was granted on an engine under one lease.

        @param engine The engine.
        @param held   The lease's fencing number.
        @return       The memory in MiB that nothing is granted of any more.
    */
    std::uint32_t give_back(engine_id engine, fence held);

    /// @return The granted model, null when there is none.
    const granted_model_view* find(replica_id id) const;
    const granted_model_view* find(servable_id servable, engine_id on) const;

    void add(const granted_model_view& model);
    void erase(replica_id id);

    /// @return Granted replicas of the servable.
    std::size_t count_of(servable_id id) const;

    /// @return Granted models on the engine.
    std::size_t count_on(engine_id id) const;

    /// @return Weight-store slots that the grants keep.
    std::size_t loads() const;

    bool empty() const
    {
        return this->by_engine.empty();
    }

    const std::map<engine_id, standing_grant_view>& grants() const
    {
        return this->by_engine;
    }

    const std::map<replica_id, granted_model_view>& models() const
    {
        return this->rows;
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->by_engine.size()));
        for (const auto& [engine, grant] : this->by_engine)
            fields(out, grant);
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [id, row] : this->rows)
            row_fields(out, row);
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t grants = in.length();
        for (std::size_t i = 0; i < grants && !in.failed(); ++i)
        {
            standing_grant_view grant;
            fields(in, grant);
            if (this->on(grant.engine) != nullptr)
                in.fail("engine with two grants");
            this->put(grant);
        }
        const std::size_t models = in.length();
        for (std::size_t i = 0; i < models && !in.failed(); ++i)
        {
            granted_model_view row;
            row_fields(in, row);
            if (!row.id || this->find(row.id) != nullptr ||
                this->find(row.servable, row.engine) != nullptr)
                in.fail("granted model without an id or twice");
            else
                this->add(row);
        }
    }

private:
    template <class Io, class Row>
    static void fields(Io& io, Row& row)
    {
        io.number(row.engine);
        io.number(row.held);
        io.number(row.memory_mib);
        io.number(row.loads);
        io.number(row.term_ms);
    }

    template <class Io, class Row>
    static void row_fields(Io& io, Row& row)
    {
        io.number(row.id);
        io.number(row.servable);
        io.number(row.engine);
        io.number(row.held);
        io.number(row.memory_mib);
        io.number(row.servable_revision);
    }

    std::map<engine_id, standing_grant_view> by_engine;
    std::map<replica_id, granted_model_view> rows;
    std::set<std::pair<servable_id, replica_id>> by_servable;
};

} // namespace roseworks::detail
