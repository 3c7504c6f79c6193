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

/** Writes events to an open pipe or file, one line each, and never waits.

    A line that the reader doesn't take at once, or that is over the limit of
    lines a second, is left out and counted; its owner reports the counts.
    Of events that went well only a part is kept, so that those that failed
    find room. Thread-safe.
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
        /// Of `request_served`, which says that nothing was wrong.
        std::uint32_t served_per_second = 40;
    };

    pipe_event_sink(options settings, const clock_port& clock);

    void emit(const event_record& record) noexcept override;

    /// Lines that were not written.
    struct left_out
    {
        std::uint64_t over_limit = 0;
        std::uint64_t not_taken = 0;
    };

    /// @return The lines left out since the last call.
    left_out take_left_out();

private:
    bool admitted(event_id id, instant now);
    void write(const event_record& record);
    bool put(std::string_view line) const;

    options settings;
    const clock_port& clock;
    std::mutex mutex;
    std::int64_t second = 0;
    std::uint32_t lines = 0;
    std::uint32_t served = 0;
    left_out missing;
};

} // namespace roseworks::events
