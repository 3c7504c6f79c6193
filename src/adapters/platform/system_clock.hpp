#pragma once

#include "ports/clock.hpp"

namespace roseworks::platform
{

/** The operating system's clocks.

    The monotonic one counts the time in which the VM was suspended, which
    `std::chrono::steady_clock` leaves out: a router that wakes from it must not
    take a lease for its own that lapsed meanwhile.
*/
class system_clock final : public clock_port
{
public:
    instant now() const override;
    stamp_ms wall() const override;
};

} // namespace roseworks::platform
