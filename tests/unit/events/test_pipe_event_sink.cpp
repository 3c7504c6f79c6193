#include "adapters/events/pipe_event_sink.hpp"

#include <array>
#include <string>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::events;
using namespace std::chrono_literals;

namespace
{

class manual_clock final : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 1234;
    }

    instant time{100s};
};

/// A pipe that is read only when a test calls `read`.
struct unread_pipe
{
    unread_pipe()
    {
        cr_assert_eq(::pipe(this->ends.data()), 0);
    }

    ~unread_pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read()
    {
        std::string text(1 << 20, '\0');
        const auto size = ::read(this->ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> ends{};
};

pipe_event_sink::options options_of(const unread_pipe& pipe)
{
    pipe_event_sink::options result;
    result.vm = "vm1";
    result.descriptor = pipe.ends[1];
    return result;
}

} // namespace

Test(pipe_event_sink, writes_one_json_line_per_event)
{
    unread_pipe pipe;
    manual_clock clock;
    pipe_event_sink sink(options_of(pipe), clock);
    sink.report(event_id::store_back, {{"away_ms", 7}});
    const std::string line = pipe.read();
    cr_assert(line.starts_with("{\"time\":1.234,"), "%s", line.c_str());
    cr_assert(line.ends_with("}\n"));
    cr_assert_neq(line.find("\"away_ms\":7"), std::string::npos);
}

/// Guards against a stopped reader blocking a thread that serves requests: once
/// the pipe is full, a blocking write would never return.
Test(pipe_event_sink, drops_lines_without_blocking_when_the_reader_stops)
{
    unread_pipe pipe;
    manual_clock clock;
    pipe_event_sink sink(options_of(pipe), clock);
    constexpr int count = 20'000;
    for (int i = 0; i < count; ++i)
    {
        clock.time += 10ms;
        sink.report(event_id::store_lost);
    }
    const auto dropped = sink.take_dropped_lines();
    cr_assert_gt(dropped.not_taken, 0);
    cr_assert_eq(dropped.over_limit, 0);
    pipe.read();
    sink.report(event_id::store_lost);
    cr_assert_eq(
        sink.take_dropped_lines().not_taken, 0, "the reader has resumed");
}

Test(pipe_event_sink, limits_lines_per_second_and_counts_the_rest)
{
    unread_pipe pipe;
    manual_clock clock;
    pipe_event_sink sink(options_of(pipe), clock);
    for (int i = 0; i < 450; ++i)
        sink.report(event_id::store_lost);
    cr_assert_eq(sink.take_dropped_lines().over_limit, 50);
    clock.time += 1s;
    sink.report(event_id::store_lost);
    cr_assert_eq(sink.take_dropped_lines().over_limit, 0);
}

Test(pipe_event_sink, limits_served_requests_to_leave_room_for_failures)
{
    unread_pipe pipe;
    manual_clock clock;
    pipe_event_sink sink(options_of(pipe), clock);
    for (int i = 0; i < 500; ++i)
        sink.report(event_id::request_served);
    for (int i = 0; i < 300; ++i)
        sink.report(event_id::request_ended);
    cr_assert_eq(sink.take_dropped_lines().over_limit, 460);
}
