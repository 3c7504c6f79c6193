#pragma once

#include "core/request/interval_estimate.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace roseworks
{

/// What the time to an answer's first byte depends on.
struct work_kind
{
    std::string_view target; ///< servable's or service's name
    bool streamed = false;   ///< else the first byte comes after the last token
    std::uint32_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
};

/// How much is known of a connection that a request was sent on.
enum class connection_kind : std::uint8_t
{
    kept, ///< carried an answer before; may have been forgotten on the way
    fresh ///< has just been opened: the way works, or worked a moment ago
};

/** How long to wait for an answer's first byte before taking the connection
    for silent.

    Learns from answers of the same target, way of answering and order of size.
    A limit that ran out doubles the next ones of its kind until an answer
    comes within the limit again (as Karn's backoff does), so that a server
    that has become slow isn't given up over and over. Without knowledge the
    ceiling holds. Bounded memory. A hint.
*/
class progress_estimator
{
public:
    static constexpr duration floor = std::chrono::milliseconds(250);
    /// More patience on a fresh connection.
    static constexpr int fresh_factor = 4;
    static constexpr std::size_t most_kinds = 1024;

    /// @param ceiling the longest limit.
    /// @return        the limit, counted from sending.
    duration first_byte_limit(
        const work_kind& work, connection_kind on, duration ceiling) const;

    /// An answer's first byte came so long after sending.
    void answered(const work_kind& work, duration first_byte, instant now);

    /// A limit ran out.
    void ran_out(const work_kind& work);

private:
    struct entry
    {
        interval_estimate first_byte;
        std::uint32_t backoff = 1;
        instant used;
    };

    static std::uint64_t key_of(const work_kind& work);
    void make_room();

    std::unordered_map<std::uint64_t, entry> entries;
};

/** How long to wait between two events of one stream, from its own pace. */
class stream_pace
{
public:
    static constexpr duration floor = std::chrono::seconds(1);

    /// Events came.
    void event(instant now);

    /// @param ceiling the longest limit, and the one while the pace is unknown.
    duration limit(duration ceiling) const;

private:
    interval_estimate gap;
    bool begun = false;
    instant last;
};

} // namespace roseworks
