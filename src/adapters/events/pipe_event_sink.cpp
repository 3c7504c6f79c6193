#include "adapters/events/pipe_event_sink.hpp"

#include "adapters/events/event_line.hpp"

#include <array>
#include <climits>
#include <cstdio>
#include <exception>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace roseworks::events
{

namespace
{

/// The largest write that a pipe reported as writable accepts without blocking.
constexpr std::size_t max_line_bytes = PIPE_BUF;

std::string format_timestamp(stamp_ms stamp)
{
    constexpr stamp_ms second = 1000;
    std::array<char, 40> text{};
    const int size = std::snprintf(
        text.data(),
        text.size(),
        "%lld.%03d",
        static_cast<long long>(stamp / second),
        static_cast<int>(stamp % second));
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

pipe_event_sink::pipe_event_sink(options sink_options, const clock_port& time)
    : settings(std::move(sink_options))
    , clock(time)
{
}

void pipe_event_sink::emit(const event_record& record) noexcept
{
    if (level_of(record.id) < this->settings.level)
        return;
    try
    {
        const std::lock_guard lock(this->mutex);
        if (this->admit(record.id, this->clock.now()))
            this->write(record);
    }
    catch (const std::exception&)
    {
        // Out of memory: the line is lost, but the request must not fail.
        ++this->dropped.not_taken;
    }
}

pipe_event_sink::dropped_lines pipe_event_sink::take_dropped_lines()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->dropped, {});
}

bool pipe_event_sink::admit(event_id id, instant now)
{
    const std::int64_t current =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (current != this->second)
    {
        this->second = current;
        this->lines = 0;
        this->served_lines = 0;
    }
    const bool over_served_limit =
        id == event_id::request_served &&
        ++this->served_lines > this->settings.served_per_second;
    if (over_served_limit || this->lines >= this->settings.lines_per_second)
    {
        ++this->dropped.over_limit;
        return false;
    }
    ++this->lines;
    return true;
}

void pipe_event_sink::write(const event_record& record)
{
    const std::string event =
        format_event(this->settings.format, this->settings.vm, record);
    const std::string time = format_timestamp(this->clock.wall());
    std::string line;
    if (this->settings.format == line_format::json)
        line = "{\"time\":" + time + ',' + event + "}\n";
    else
        line = time + ' ' + event + '\n';
    if (!this->try_write(line))
        ++this->dropped.not_taken;
}

bool pipe_event_sink::try_write(std::string_view line) const
{
    if (line.size() > max_line_bytes)
        return false;
    pollfd ready{this->settings.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    const auto size =
        ::write(this->settings.descriptor, line.data(), line.size());
    return size == static_cast<ssize_t>(line.size());
}

} // namespace roseworks::events
