#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/grant_hint.hpp>
#include <roseworks/routing_table.hpp>

#include <memory>
#include <span>

namespace roseworks
{

/** Builds routing tables from the decided state.

    Tables share unchanged parts. A change copies the leaf of 64 entries that it
    affects, the node of 64 leaves around it, and one pointer for each 4096
    entries. Changes between two calls of `table` are applied together.

    A ready route is a replica in state `ready` on an engine that isn't
    draining. An adapter has the `max_streams` of its base, so all adapters of a
    base are updated when an operator changes this value.

    The tables are hints. Not thread-safe: owned by the control thread. The
    tables may be read by any thread.
*/
class routing_table_builder
{
public:
    routing_table_builder();
    ~routing_table_builder();
    routing_table_builder(routing_table_builder&&) noexcept;
    routing_table_builder& operator=(routing_table_builder&&) noexcept;

    /// Replaces all content by that of a state, as at the start or after a
    /// checkpoint was restored.
    void rebuild(const fleet_state& state);

    /// Applies the changes of the state's last `apply`.
    void update(const fleet_state& state);

    /// Sets whether the log was read recently.
    void set_log_available(bool available);

    /** Sets the models that standing grants serve or may serve.

        @param state The current state.
        @param hints All current hints, sorted by servable.
    */
    void
    set_grants(const fleet_state& state, std::span<const grant_hint> hints);

    /// @return The current table; the previous one if nothing changed.
    routing_table_ptr table();

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
