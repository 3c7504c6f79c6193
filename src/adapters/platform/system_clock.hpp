#pragma once

#include "ports/clock.hpp"

namespace roseworks::platform
{

/// The operating system's clocks.
class system_clock final : public clock_port
{
public:
    instant now() const override;
    stamp_ms wall() const override;
};

} // namespace roseworks::platform
