#pragma once

#include "core/serving/organisation.hpp"

#include <roseworks/instant.hpp>

#include <algorithm>
#include <chrono>

namespace roseworks
{

/// What is given for the sums of limits over all routers.
struct quota_bounds
{
    duration window = std::chrono::seconds(8); ///< in which use is summed up
    double excess = 0.1;                       ///< of a limit, beyond it
    double slack = 0;                          ///< beside that, in its unit
};

/// @return The part of a limit that belongs to one of so many routers.
inline usage_limit share_of(const usage_limit& whole, double part)
{
    return {whole.per_second * part, whole.burst * part};
}

/** A router counts for the accountant that it hears, or for itself, and for
    both at most so long: the limit's excess covers that.
*/
inline duration contact_life(const quota_bounds& bounds)
{
    constexpr duration shortest = std::chrono::milliseconds(200);
    constexpr duration longest = std::chrono::milliseconds(1000);
    const auto covered = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(bounds.window) * bounds.excess);
    return std::clamp(covered, shortest, longest);
}

} // namespace roseworks
