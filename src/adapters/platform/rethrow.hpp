#pragma once

#include <exception>

namespace roseworks::platform
{

/// Completion handler of a coroutine that nobody waits for. It rethrows an
/// exception of the coroutine from the event loop, which would otherwise be
/// ignored.
inline constexpr auto rethrow = [](std::exception_ptr exception)
{
    if (exception)
        std::rethrow_exception(exception);
};

} // namespace roseworks::platform
