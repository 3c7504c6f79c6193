#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/** Splits a stream of server-sent events into complete events without changing
    their bytes.

    A resumable stream is forwarded in complete events only. When it continues
    on another server, no fragment of an interrupted event precedes the events
    of that server.
*/
class sse_event_splitter
{
public:
    /// @param max_event_bytes Largest event that is accepted.
    explicit sse_event_splitter(std::size_t max_event_bytes)
        : max_pending_bytes(max_event_bytes)
    {
    }

    /// Appends received bytes.
    /// @return The events that these bytes complete; empty if there are none.
    std::string feed(std::string_view bytes);

    /// @return Whether the bytes after the last complete event are a part of
    ///         another event. Complete comment lines are not.
    bool is_inside_event() const
    {
        return this->has_field || this->pending.size() != this->line_start;
    }

    /// Removes the bytes after the last complete event.
    /// @return These bytes.
    std::string take_remainder();

    /// Discards the incomplete event before the response of another attempt.
    void discard_incomplete();

    /// @return Whether the incomplete event is larger than the limit.
    bool exceeds_limit() const
    {
        return this->pending.size() > this->max_pending_bytes;
    }

    /// @return The number of bytes received after the last complete event.
    std::size_t unfinished_bytes() const
    {
        return this->pending.size();
    }

    /// @return The ID of the latest complete event that has one; empty if none.
    const std::string& last_id() const
    {
        return this->id;
    }

    /// @return The number of complete events. Comments alone are not an event.
    std::uint32_t event_count() const
    {
        return this->count;
    }

private:
    /// What is known of the previous byte if it was a CR.
    enum class cr_state : std::uint8_t
    {
        none,
        undecided, ///< a line end, or the first half of one
        ended_line ///< a line end; an LF may still belong to it
    };

    void feed_byte(char byte, std::string& completed_events);
    /// Appends the LF after a CR that ended a line.
    void complete_crlf(std::string& completed_events);
    void end_line(std::string& completed_events);
    void end_event(std::string& completed_events);
    void parse_line(std::string_view line);

    std::size_t max_pending_bytes;
    std::string pending;
    std::size_t line_start = 0;
    bool has_field = false; ///< a complete line of `pending` is not a comment
    std::string pending_id;
    /// Whether the latest line ended with a CR alone. A CR then ends a line at
    /// once; elsewhere the next byte decides.
    bool lines_end_with_cr = false;
    cr_state last_cr = cr_state::none;
    std::string id;
    std::uint32_t count = 0;
};

} // namespace roseworks::forward
