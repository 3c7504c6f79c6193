#pragma once

#include "core/crashes/archived_block.hpp"
#include "core/crashes/crash_tracker.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/** Decides what this router writes to the archive of blocked requests and parts
    of prompts. It is read by routers that have just started: if the processes
    of all routers end at once, none is left to ask.

    Of each block a few routers write, so that those that are cut off or frozen
    aren't needed. All write the same, so the order doesn't matter.
*/
class crash_keeper
{
public:
    struct changes
    {
        std::vector<archived_block> written;
        std::vector<std::uint64_t> removed; ///< subjects
    };

    /// @param knowledge Of this router; has to outlive the keeper.
    explicit crash_keeper(crash_tracker& knowledge);

    /// Adds what the archive holds to what this router knows.
    void
    restore(std::span<const archived_block> all, stamp_ms wall, instant now);

    /// @return What the archive lacks, or holds in vain, if this router is one
    ///         of those that write it.
    changes take_changes(stamp_ms wall, instant now);

    /// @return Number of blocks that the archive holds, as far as known.
    std::size_t archived_count() const
    {
        return this->archived.size();
    }

private:
    crash_tracker& tracker;
    /// Digests of the records of each archived subject.
    std::unordered_map<std::uint64_t, std::uint64_t> archived;
};

} // namespace roseworks
