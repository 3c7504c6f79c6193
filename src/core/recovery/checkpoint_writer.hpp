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

    A checkpoint may be taken at marks only: offsets that are a multiple of the
    interval, and the first record of each two minutes of log time. Marks follow
    from the log alone; every router remembers its own hash at them, and a
    complete checkpoint with another hash raises an alarm and is never adopted.

    At a mark the router that rendezvous hashing names for it writes one if one
    is due: when the log has forgotten what the newest complete checkpoint
    needs, when a quarter of the records kept came after it, when it is ten
    intervals or two hours old. An author that dies is followed by the next
    mark's. Whether one is due is a hint: two routers may see it differently.
*/
class checkpoint_writer
{
public:
    checkpoint_writer(std::uint64_t interval, std::size_t chunk_bytes);

    /// Folding begins with this state: empty, or of a checkpoint.
    void start(const fleet_state& state);

    /// The log keeps the entries from this offset on. A hint.
    void kept(log_offset first);

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

    /// A checkpoint that the log holds, or the log's start.
    struct restart_point
    {
        log_offset at;
        stamp_ms time = 0; ///< log time at it
    };

    /// What is remembered of a mark.
    struct mark
    {
        std::uint64_t hash = 0;
        stamp_ms time = 0;
    };

    bool on_mark(log_offset at, stamp_ms before, stamp_ms time) const;
    bool due(log_offset at, stamp_ms time) const;
    void note_complete(const control_context&, const logged_checkpoint& what);

    std::uint64_t interval;
    std::size_t chunk_bytes;
    log_offset first_kept{1};
    stamp_ms log_time = 0;        ///< after the last record folded
    restart_point newest;         ///< from where a new router could fold
    stamp_ms chunk_seen_time = 0; ///< log time when a new chunk came
    std::map<log_offset, mark> own_marks;
    std::map<logged_checkpoint, std::set<std::uint32_t>> seen;
    /// Checkpoints of programs whose hashes can't be compared with ours.
    std::set<logged_checkpoint> foreign;
    std::deque<checkpoint_chunk> unsent;
    std::optional<std::uint64_t> in_flight;
};

} // namespace roseworks::detail
