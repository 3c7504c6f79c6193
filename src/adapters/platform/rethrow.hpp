#pragma once

#include <exception>

namespace roseworks::platform
{

/// Completion of a coroutine that nobody waits for: a fault in it surfaces
/// from the event loop instead of ending the coroutine unnoticed.
inline constexpr auto rethrow = [](std::exception_ptr fault)
{
    if (fault)
        std::rethrow_exception(fault);
};

} // namespace roseworks::platform
