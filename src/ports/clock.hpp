#pragma once

#include <roseworks/instant.hpp>

namespace roseworks
{

/// Port: the monotonic clock and the wall clock of a process. Implementations
/// are thread-safe.
class clock_port
{
public:
    virtual ~clock_port() = default;

    /// @return The monotonic time. It never decreases, and it advances while
    ///         the VM is suspended. It has its own epoch, so values can't be
    ///         compared with those of other clocks.
    virtual instant now() const = 0;

    /// @return The wall-clock time. Only for timestamps on records.
    virtual stamp_ms wall() const = 0;
};

} // namespace roseworks
