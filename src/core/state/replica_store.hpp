#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace roseworks::detail
{

/// The replicas that aren't gone, with indexes by servable, engine and wait
/// for a weight-store slot. Decided state.
class replica_store
{
public:
    using by_servable = std::set<std::pair<servable_id, replica_id>>;
    using by_engine = std::set<std::pair<engine_id, replica_id>>;

    /// @return The replica, null when it never was or is gone.
    const replica_view* find(replica_id id) const;

    /// Add a replica in state `decided`.
    void add(const replica_view& decided);

    /** Move a replica on; `gone` forgets it.

        @param id A replica that is here.
        @param to Its next state.
        @param at The record that moves it.
    */
    void move(replica_id id, replica_state to, log_offset at);

    /** Give a waiting replica a weight-store slot.

        @param not_before Log time at which its load may be ordered.
        @param at         The record at which the slot was granted.
    */
    void grant(replica_id id, stamp_ms not_before, log_offset at);

    /// @return The replica that is next for a slot: by urgency, then age; 0
    ///         when none waits.
    replica_id next_waiting() const;

    /// @return Weight-store slots held.
    std::size_t slots_held() const
    {
        return this->slots;
    }

    /// @return Replicas of the servable that aren't gone.
    std::size_t count_of(servable_id id) const;

    /// @return Whether an adapter's replica lies beside this base replica.
    bool has_adapters(const replica_view& base) const;

    const std::map<replica_id, replica_view>& all() const
    {
        return this->rows;
    }

    /// Visit the replicas of a servable, in order of decision.
    template <class Visit>
    void each_of(servable_id id, Visit&& visit) const
    {
        auto entry = this->servables.lower_bound({id, replica_id()});
        for (; entry != this->servables.end() && entry->first == id; ++entry)
            visit(*this->find(entry->second));
    }

    /// Visit the replicas on an engine, in order of decision.
    template <class Visit>
    void each_on(engine_id id, Visit&& visit) const
    {
        auto entry = this->engines.lower_bound({id, replica_id()});
        for (; entry != this->engines.end() && entry->first == id; ++entry)
            visit(*this->find(entry->second));
    }

    template <class Writer>
    void save(Writer& out) const
    {
        out.number(static_cast<std::uint32_t>(this->rows.size()));
        for (const auto& [id, row] : this->rows)
            fields(out, row);
    }

    template <class Reader>
    void load(Reader& in)
    {
        const std::size_t count = in.length();
        for (std::size_t i = 0; i < count && !in.failed(); ++i)
        {
            replica_view row;
            fields(in, row);
            if (!row.id || this->find(row.id) != nullptr)
                in.fail("replica without an id or twice");
            else
                this->add(row);
        }
    }

private:
    template <class Io, class Row>
    static void fields(Io& io, Row& row)
    {
        io.number(row.id);
        io.number(row.servable);
        io.number(row.engine);
        io.number(row.base);
        io.choice(row.state, 6);
        io.choice(row.urgency, 3);
        io.number(row.memory_mib);
        io.number(row.servable_revision);
        io.number(row.holds_slot);
        io.time(row.slot_not_before);
        io.number(row.last_change);
    }

    void leave_slot(replica_view& row);

    std::map<replica_id, replica_view> rows;
    by_servable servables;
    by_engine engines;
    std::set<std::pair<priority, replica_id>> waiting;
    std::size_t slots = 0;
};

} // namespace roseworks::detail
