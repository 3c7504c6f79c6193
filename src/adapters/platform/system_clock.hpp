#pragma once

#include "ports/clock.hpp"

namespace roseworks::platform
{

/** The operating system's clocks.

    The monotonic clock includes the time while the VM was suspended, unlike
    `std::chrono::steady_clock`. Otherwise a router could treat a lease that
    expired during a suspension as still valid.
*/
class system_clock final : public clock_port
{
public:
    instant now() const override;
    stamp_ms wall() const override;
};

} // namespace roseworks::platform
