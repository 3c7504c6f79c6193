#pragma once

#include "ports/clock.hpp"

#include <chrono>

namespace roseworks::users_platform::tests
{

/// A clock that a test advances.
class manual_clock final : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 0;
    }

    instant time{std::chrono::seconds(100)};
};

} // namespace roseworks::users_platform::tests
