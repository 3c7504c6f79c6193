#pragma once

#include <cstdint>
#include <string_view>

namespace roseworks
{

/// Classes of engines by their pace, for logs and metrics.
enum class pace_class : std::uint8_t
{
    fast, ///< takes less than 80 % of the mean time
    usual,
    slow ///< takes more than 125 % of the mean time
};

constexpr std::string_view to_string(pace_class one)
{
    switch (one)
    {
    case pace_class::fast:
        return "fast";
    case pace_class::usual:
        return "usual";
    case pace_class::slow:
        return "slow";
    }
    return "";
}

/// @param percent Pace of the engine; 100 is the mean.
constexpr pace_class class_of(std::uint32_t percent)
{
    constexpr std::uint32_t fast_below = 80;
    constexpr std::uint32_t slow_above = 125;
    if (percent < fast_below)
        return pace_class::fast;
    return percent > slow_above ? pace_class::slow : pace_class::usual;
}

} // namespace roseworks
