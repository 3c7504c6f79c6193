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
class event_cutter
{
public:
    /// @param max_event_bytes Largest event that is accepted.
    explicit event_cutter(std::size_t max_event_bytes)
        : limit(max_event_bytes)
    {
    }

    /// Appends received bytes.
    /// @return The events that these bytes complete; empty if there are none.
    std::string feed(std::string_view bytes);

    /// Removes the bytes of the incomplete event.
    /// @return These bytes.
    std::string take_rest();

    /// Discards the incomplete event before the response of another attempt.
    void restart();

    /// @return Whether the incomplete event is larger than the limit.
    bool overrun() const
    {
        return this->pending.size() > this->limit;
    }

    /// @return The ID of the latest complete event that has one; empty if none.
    const std::string& last_id() const
    {
        return this->id;
    }

    std::uint32_t events() const
    {
        return this->count;
    }

private:
    void end_line();

    std::size_t limit;
    std::string pending;
    std::size_t line_start = 0;
    std::string pending_id;
    std::string id;
    std::uint32_t count = 0;
};

} // namespace roseworks::forward
