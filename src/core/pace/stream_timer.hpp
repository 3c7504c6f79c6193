#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace roseworks
{

/** Measures the time between the events of one relayed stream.

    The times are divided by the factor that the engine's host stated in the
    head of the response. The factor changes many times a second, so only the
    beginning of the stream is measured. Times during which the router itself
    was delayed by its caller are left out. A delay of the router's event loop
    shifts the measured end of one time and the start of the next alike.
*/
class stream_timer
{
public:
    /// How long the stated factor is used: half of the time for which another
    /// load usually lasts.
    static constexpr duration factor_lifetime = std::chrono::milliseconds(300);
    /// The router was delayed if it began to wait for bytes later than this
    /// after the preceding ones.
    static constexpr duration max_own_delay = std::chrono::milliseconds(1);

    /// @param host_time_percent As `load_report::host_time_percent`; 0: nothing
    ///                          is measured.
    /// @param began             When the head of the response was received.
    stream_timer(std::uint32_t host_time_percent, instant began);

    /// Bytes of the stream were received.
    /// @param events        Number of events that they complete.
    /// @param waiting_since When the router began to wait for the bytes.
    void received(std::uint32_t events, instant waiting_since, instant now);

    /// @return Number of events whose time was measured.
    std::uint32_t events() const
    {
        return this->measured_events;
    }

    /// @return Sum of the measured times, divided by the factor.
    duration time() const;

private:
    std::uint32_t host_time_percent;
    instant began;
    std::optional<instant> last_event; ///< empty: no time can be measured from
    instant last_received;
    std::uint32_t measured_events = 0;
    duration measured{};
};

} // namespace roseworks
