#pragma once

#include "core/serving/deployment.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace roseworks
{

/// Classes of an organisation's requests: while its limit is short, lower
/// values are served first.
namespace urgency
{

constexpr std::uint8_t urgent = 0;
constexpr std::uint8_t normal = 1;
constexpr std::uint8_t deferrable = 2; ///< may wait for the limit
constexpr std::size_t class_count = 3;

/// @param window Over which an organisation's usage is summed.
/// @return       The class of a route's requests.
inline std::uint8_t class_of(const path_route& route, duration window)
{
    constexpr std::uint8_t highest_rank = 0;
    constexpr int window_divisor = 4;
    const duration deferrable_from = window / window_divisor;
    const bool has_objective = route.objective > duration::zero();
    const bool is_short = has_objective && route.objective < deferrable_from;
    if (route.rank == highest_rank || (is_short && !route.repeatable()))
        return urgent;
    return route.objective >= deferrable_from ? deferrable : normal;
}

} // namespace urgency

} // namespace roseworks
