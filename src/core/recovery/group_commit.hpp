#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace roseworks::detail
{

/** Gathers this router's records into appends.

    An append leaves at once when none is in flight; while one is, records
    collect. A record gets its id once, before its first append: an append
    without an answer, or refused, is sent again with the same bytes until it
    is acknowledged or read back, so that each record takes effect exactly once.
*/
class group_commit
{
public:
    struct options
    {
        author_id author;
        std::uint64_t incarnation = 0;
        duration retry_min{};
        duration retry_max{};
        std::size_t max_batch_bytes = 0;
        std::uint64_t seed = 1;
    };

    explicit group_commit(options settings);

    /** Queue a record.

        @param payload Its content.
        @param wall    The stamp it carries.
        @return        Its sequence number.
    */
    std::uint64_t submit(record_payload payload, stamp_ms wall);

    /// Records submitted from now on carry the next incarnation: the fold has
    /// ended the session of this one though the process runs.
    void next_incarnation();

    /** Take a record back that was never handed out.

        @param sequence Its sequence number.
        @return         Whether it is certain never to be appended.
    */
    bool withdraw(std::uint64_t sequence);

    /// Hand out the next append, if its time has come.
    void flush(instant now, std::vector<control_command>& out);

    /// An append was answered or wasn't.
    void answered(std::uint64_t batch, append_outcome outcome, instant now);

    /** A record was read back.

        @param id Its id.
        @return   When it was first handed out; empty when it isn't one of
                  this run's records or was read back before.
    */
    std::optional<instant> read_back(const record_id& id);

    /// @return Whether the record hasn't been read back yet.
    bool pending(std::uint64_t sequence) const;

    /// @return Whether every record was read back.
    bool idle() const;

    /// @return When `flush` has work next.
    instant next_tick() const;

private:
    struct entry
    {
        std::uint64_t sequence = 0;
        std::vector<std::byte> bytes;
    };

    struct unread_record
    {
        std::uint64_t incarnation = 0;
        std::optional<instant> handed_out; ///< for the first time
    };

    void hand_out(instant now, std::vector<control_command>& out);
    void fill_batch();
    duration backoff();

    options settings;
    std::uint64_t last_sequence = 0;
    std::uint64_t last_batch = 0;
    std::uint64_t random_state;
    std::deque<entry> queued;
    std::vector<entry> batch; ///< being appended, or to be sent again
    bool awaiting_answer = false;
    unsigned failures = 0;
    instant retry_at{};
    /// Records not read back, by sequence.
    std::map<std::uint64_t, unread_record> unread;
};

} // namespace roseworks::detail
