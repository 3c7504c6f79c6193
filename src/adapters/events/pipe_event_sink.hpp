#pragma once

#include "adapters/events/line_format.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace roseworks::events
{

/** Writes events to an open pipe or file, one line each, without blocking.

    A line is dropped and counted if the pipe cannot accept it at once or if it
    exceeds the limit of lines per second; the sink's owner reports the counts.
    Events of successful requests have a lower limit of their own, which leaves
    room for events of failures. Thread-safe.
*/
class pipe_event_sink final : public event_sink
{
public:
    struct options
    {
        std::string vm;
        event_level level = event_level::info;
        line_format format = line_format::json;
        int descriptor = 1;
        std::uint32_t lines_per_second = 400;
        /// The limit for `request_served`, the event of a successful request.
        std::uint32_t served_per_second = 40;
    };

    pipe_event_sink(options settings, const clock_port& clock);

    void emit(const event_record& record) noexcept override;

    /// Counts of lines that were not written.
    struct dropped_lines
    {
        std::uint64_t over_limit = 0; ///< exceeded a limit of lines per second
        std::uint64_t not_taken = 0;  ///< the pipe could not accept them
    };

    /// @return The counts since the previous call.
    dropped_lines take_dropped_lines();

private:
    /// @return Whether the limits allow one more line; counts it either way.
    bool admit(event_id id, instant now);
    void write(const event_record& record);
    /// @return Whether the whole line was written without blocking.
    bool try_write(std::string_view line) const;

    options settings;
    const clock_port& clock;
    std::mutex mutex;
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    std::uint32_t served_lines = 0;
    dropped_lines dropped;
};

} // namespace roseworks::events
