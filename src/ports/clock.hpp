#pragma once

#include <roseworks/instant.hpp>

namespace roseworks
{

/// Port: the two clocks of a process. Implementations may be called from any
/// thread.
class clock_port
{
public:
    virtual ~clock_port() = default;

    /// @return The monotonic time; never goes back, and goes on while the VM is
    ///         suspended. Its start isn't that of any other clock.
    virtual instant now() const = 0;

    /// @return The wall clock, for stamps on records only.
    virtual stamp_ms wall() const = 0;
};

} // namespace roseworks
