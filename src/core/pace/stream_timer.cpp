#include "core/pace/stream_timer.hpp"

namespace roseworks
{

stream_timer::stream_timer(std::uint32_t percent, instant start)
    : host_time_percent(percent)
    , began(start)
    , last_received(start)
{
}

void stream_timer::received(
    std::uint32_t events, instant waiting_since, instant now)
{
    if (this->host_time_percent == 0 || now - this->began > factor_lifetime)
        return;
    // The bytes may have arrived while the router was delayed.
    const bool was_delayed =
        waiting_since - this->last_received > max_own_delay;
    this->last_received = now;
    if (was_delayed)
        this->last_event.reset();
    if (events == 0)
        return;
    if (this->last_event)
    {
        this->measured += now - *this->last_event;
        this->measured_events += events;
    }
    if (was_delayed)
        return;
    this->last_event = now;
}

duration stream_timer::time() const
{
    constexpr duration::rep usual_percent = 100;
    if (this->host_time_percent == 0)
        return {};
    return this->measured * usual_percent / this->host_time_percent;
}

} // namespace roseworks
