#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/grant_hint.hpp>
#include <roseworks/routing_table.hpp>

#include <memory>
#include <span>

namespace roseworks
{

/** Keeps the routing table in step with the decided state.

    Tables share what didn't change: a change costs the leaf of 64 entries that
    it touches, the 64 leaves beside it and one pointer for each 4096 entries,
    whatever the number of other entries. Changes between two calls of `table`
    are gathered.

    A ready route is a replica in state `ready` on an engine that isn't
    draining. An adapter's streams are its base's; when an operator changes a
    base's streams, its adapters are gone through once.

    The tables are hints. Not thread-safe: owned by the control thread; the
    tables may be read by any thread.
*/
class routing_table_builder
{
public:
    routing_table_builder();
    ~routing_table_builder();
    routing_table_builder(routing_table_builder&&) noexcept;
    routing_table_builder& operator=(routing_table_builder&&) noexcept;

    /// Takes a whole state over, as at the start or from a checkpoint.
    void rebuild(const fleet_state& state);

    /// Takes the changes of the state's last `apply` over.
    void update(const fleet_state& state);

    /// Notes whether the log could be read lately.
    void set_log_available(bool available);

    /** Takes over what standing grants serve or may serve.

        @param state The state as of now.
        @param hints All that hold now, by servable.
    */
    void
    set_grants(const fleet_state& state, std::span<const grant_hint> hints);

    /// @return The table as of now; the one before when nothing changed.
    routing_table_ptr table();

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
