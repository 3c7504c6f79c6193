#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/** Cuts a server-sent-event stream into whole events, byte for byte.

    Only whole events are passed on, so that the events of another run can
    follow without a piece of one glued between.
*/
class event_cutter
{
public:
    /// @param max_event_bytes the largest event that is taken.
    explicit event_cutter(std::size_t max_event_bytes)
        : limit(max_event_bytes)
    {
    }

    /// Takes bytes as they come.
    /// @return Whole events that these bytes completed; empty when none.
    std::string feed(std::string_view bytes);

    /// @return What is left of an event that wasn't completed.
    std::string take_rest();

    /// A new run follows: forgets the unfinished event.
    void restart();

    /// @return Whether an event is larger than the limit.
    bool overrun() const
    {
        return this->pending.size() > this->limit;
    }

    /// @return The id of the last whole event, empty before the first.
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
