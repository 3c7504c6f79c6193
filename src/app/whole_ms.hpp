#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>

namespace roseworks::app
{

/// @return The length in whole milliseconds, as events name it.
inline std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

} // namespace roseworks::app
