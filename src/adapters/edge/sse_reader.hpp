#pragma once

#include "core/request/stream_position.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/** Cuts a server-sent-event stream into whole events.

    Only whole events are passed on, so that an error event added after a cut
    is never glued to half an event. `data: [DONE]` is held back until the
    whole answer is known to have come. What comes after it is discarded.

    Memory: at most `max_event_bytes` of an unfinished event, and the events
    made ready by one `feed`.
*/
class sse_reader
{
public:
    /// @param max_event_bytes the largest event that is taken.
    /// @param caller_has      follows the events' ids; null: it needn't.
    explicit sse_reader(
        std::size_t max_event_bytes, stream_position* caller_has = nullptr)
        : limit(max_event_bytes)
        , position(caller_has)
    {
    }

    sse_reader(const sse_reader&) = delete;
    sse_reader& operator=(const sse_reader&) = delete;

    /// Takes bytes as they come.
    /// @return False when an event is larger than the limit, or can't follow
    ///         what the caller has; it is not passed on then.
    bool feed(std::string_view bytes);

    /// The body has ended whole: what is left is the last event, and is
    /// closed by an empty line.
    void finish();

    /// @return Whole events since the last call, byte for byte; without
    ///         `[DONE]`.
    std::string take_ready();

    /// @return The `[DONE]` event's bytes, empty when it has not come.
    const std::string& done_event() const
    {
        return this->done;
    }

    /// @return Events with data so far, without `[DONE]`.
    std::uint32_t tokens() const
    {
        return this->data_events;
    }

private:
    void take(char byte);
    void end_line();
    void end_event();

    std::size_t limit;
    stream_position* position;
    std::string id; ///< the unfinished event's
    bool refused = false;
    std::string ready;
    std::string event; ///< the unfinished event
    std::string done;
    std::size_t line_start = 0;
    bool has_data = false;
    bool is_done = false;
    bool after_cr = false;
    std::string* last = &this->event; ///< where the last line end went
    std::uint32_t data_events = 0;
};

} // namespace roseworks::edge
