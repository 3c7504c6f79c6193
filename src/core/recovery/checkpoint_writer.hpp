#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/checkpoint.hpp>
#include <roseworks/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace roseworks::detail
{

/** Writes checkpoints and compares those of others with this router's fold.

    A checkpoint is due at every offset that is a multiple of the interval, by
    the router that rendezvous hashing names for it. Every router remembers its
    own hash at these offsets; a complete checkpoint with another hash raises an
    alarm and is never adopted.
*/
class checkpoint_writer
{
public:
    checkpoint_writer(std::uint64_t interval, std::size_t chunk_bytes);

    /// The state was folded up to its present offset.
    void passed(const control_context& context);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// Append the next chunk of a checkpoint under way.
    void step(const control_context& context);

private:
    struct logged_checkpoint
    {
        log_offset at;
        std::uint64_t state_hash = 0;
        std::uint32_t count = 0;
        author_id author;

        bool operator<(const logged_checkpoint& other) const;
    };

    std::uint64_t interval;
    std::size_t chunk_bytes;
    std::map<log_offset, std::uint64_t> own_hashes;
    std::map<logged_checkpoint, std::set<std::uint32_t>> seen;
    /// Checkpoints of programs whose hashes can't be compared with ours.
    std::set<logged_checkpoint> foreign;
    std::deque<checkpoint_chunk> unsent;
    std::optional<std::uint64_t> in_flight;
};

} // namespace roseworks::detail
