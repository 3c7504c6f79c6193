#pragma once

#include <roseworks/checkpoint.hpp>
#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace roseworks::app
{

/** Finds the newest usable checkpoint in a log that has forgotten its start.

    Holds the chunks only, never the other entries that it is shown. A
    checkpoint is usable when every entry after it is still kept, and its bytes
    give the offset and hash that it states.
*/
class checkpoint_search
{
public:
    /// @param first Oldest offset kept.
    explicit checkpoint_search(log_offset first);

    /// Looks through entries, in the log's order.
    void look(std::span<const log_entry> entries);

    /// A checkpoint and the state that it gave.
    struct found
    {
        checkpoint whole;
        fleet_state state;
    };

    /// @return The newest usable checkpoint seen; empty when there is none.
    ///         One that can't be restored is passed over for good.
    std::optional<found> take();

private:
    void keep(checkpoint whole);

    log_offset first;
    checkpoint_assembler assembler;
    std::optional<checkpoint> newest;
};

} // namespace roseworks::app
