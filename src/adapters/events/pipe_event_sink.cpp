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

/// A pipe that is ready takes this much without waiting.
constexpr std::size_t longest_line = PIPE_BUF;

std::string stamp_text(stamp_ms stamp)
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

pipe_event_sink::pipe_event_sink(options chosen, const clock_port& time)
    : settings(std::move(chosen))
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
        if (this->admitted(record.id, this->clock.now()))
            this->write(record);
    }
    catch (const std::exception&)
    {
        // Out of memory: the line is lost, the request must not be.
        ++this->missing.not_taken;
    }
}

pipe_event_sink::left_out pipe_event_sink::take_left_out()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->missing, {});
}

bool pipe_event_sink::admitted(event_id id, instant now)
{
    const std::int64_t current =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (current != this->second)
    {
        this->second = current;
        this->lines = 0;
        this->served = 0;
    }
    const bool one_of_many = id == event_id::request_served &&
                             ++this->served > this->settings.served_per_second;
    if (one_of_many || this->lines >= this->settings.lines_per_second)
    {
        ++this->missing.over_limit;
        return false;
    }
    ++this->lines;
    return true;
}

void pipe_event_sink::write(const event_record& record)
{
    const std::string event =
        format_event(this->settings.format, this->settings.vm, record);
    const std::string time = stamp_text(this->clock.wall());
    std::string line;
    if (this->settings.format == line_format::json)
        line = "{\"time\":" + time + ',' + event + "}\n";
    else
        line = time + ' ' + event + '\n';
    if (!this->put(line))
        ++this->missing.not_taken;
}

bool pipe_event_sink::put(std::string_view line) const
{
    if (line.size() > longest_line)
        return false;
    pollfd ready{this->settings.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        return false;
    const auto size =
        ::write(this->settings.descriptor, line.data(), line.size());
    return size == static_cast<ssize_t>(line.size());
}

} // namespace roseworks::events
