#pragma once

#include "core/request/stream_position.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/** Splits a stream of server-sent events into whole events.

    Only whole events are passed on, so an error event that is added after a
    truncated stream never follows part of an event. `data: [DONE]` is held back
    until the response is known to be complete. Events after it are discarded.

    Memory: at most `max_event_bytes` of an incomplete event, and the events
    completed by one `feed`.
*/
class sse_reader
{
public:
    /// @param max_event_bytes Maximum size of an event.
    /// @param caller_has      Tracks the ids of the events; null: ids are
    ///                        ignored.
    explicit sse_reader(
        std::size_t max_event_bytes, stream_position* caller_has = nullptr)
        : limit(max_event_bytes)
        , position(caller_has)
    {
    }

    sse_reader(const sse_reader&) = delete;
    sse_reader& operator=(const sse_reader&) = delete;

    /// Parses the next bytes of the stream.
    /// @return False if an event exceeds the limit or can't follow those the
    ///         caller has. That event is not passed on.
    bool feed(std::string_view bytes);

    /// Handles the end of a complete body: the remaining bytes become the last
    /// event, terminated with an empty line.
    void finish();

    /// @return Whether the bytes after the last whole event are a part of
    ///         another one. Whole comment lines are not.
    bool is_inside_event() const
    {
        return this->has_field || this->event.size() != this->line_start;
    }

    /// @return The unmodified bytes of the whole events since the last call,
    ///         without `[DONE]`.
    std::string take_ready();

    /// @return The bytes of the `[DONE]` event, empty if it has not arrived.
    const std::string& done_event() const
    {
        return this->done;
    }

    /// @return Number of events with data so far, without `[DONE]`.
    std::uint32_t tokens() const
    {
        return this->data_events;
    }

private:
    void feed_byte(char byte);
    void end_line();
    void end_event();

    std::size_t limit;
    stream_position* position;
    std::string id; ///< id of the incomplete event
    bool rejected = false;
    std::string ready;
    std::string event; ///< the incomplete event
    std::string done;
    std::size_t line_start = 0;
    bool has_field = false; ///< a whole line of `event` is not a comment
    bool has_data = false;
    bool is_done_event = false;
    bool after_cr = false;
    std::string* last_line_end =
        &this->event; ///< buffer that received the last line end
    std::uint32_t data_events = 0;
};

} // namespace roseworks::edge
