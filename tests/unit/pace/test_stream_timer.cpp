#include "core/pace/stream_timer.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1000s};

} // namespace

/// Load of another workload on the host was taken for a slow engine.
Test(stream_timer, time_is_divided_by_the_factor_of_the_host)
{
    stream_timer timer(250, start);
    timer.received(1, start, start + 1ms);
    timer.received(1, start + 1ms, start + 51ms);
    timer.received(2, start + 51ms, start + 151ms);
    cr_expect_eq(timer.events(), 3U);
    cr_expect_eq(timer.time().count(), duration(60ms).count());
}

/// A caller that reads slowly made the engine look slow.
Test(stream_timer, delay_by_the_caller_is_left_out)
{
    stream_timer timer(100, start);
    timer.received(1, start, start + 1ms);
    timer.received(1, start + 1ms, start + 21ms);
    // The router could write the event only after 60 ms.
    timer.received(2, start + 81ms, start + 81ms);
    timer.received(1, start + 81ms, start + 85ms);
    timer.received(1, start + 85ms, start + 105ms);
    cr_expect_eq(timer.events(), 2U);
    cr_expect_eq(timer.time().count(), duration(40ms).count());
}

/// The factor changes many times a second, so an old one says nothing.
Test(stream_timer, only_the_beginning_of_a_stream_is_measured)
{
    stream_timer timer(100, start);
    timer.received(1, start, start + 1ms);
    timer.received(1, start + 1ms, start + 299ms);
    timer.received(1, start + 299ms, start + 400ms);
    cr_expect_eq(timer.events(), 1U);
}

/// Without the fourth value of `Replica-Load` nothing may be estimated.
Test(stream_timer, nothing_is_measured_without_a_factor)
{
    stream_timer timer(0, start);
    timer.received(1, start, start + 1ms);
    timer.received(1, start + 1ms, start + 20ms);
    cr_expect_eq(timer.events(), 0U);
    cr_expect_eq(timer.time().count(), 0);
}
