#pragma once

#include "core/serving/organisation.hpp"

#include <roseworks/instant.hpp>

#include <algorithm>
#include <chrono>

namespace roseworks
{

/// How far the sum over all routers may exceed a limit.
struct quota_bounds
{
    duration window = std::chrono::seconds(8); ///< over which usage is summed
    double excess = 0.1; ///< tolerated excess, as a fraction of the limit
    double slack = 0;    ///< further absolute excess, in the limit's unit
};

/// @return The given fraction of a limit.
inline usage_limit share_of(const usage_limit& total, double fraction)
{
    return {total.per_second * fraction, total.burst * fraction};
}

inline usage_limit sum_of(const usage_limit& one, const usage_limit& other)
{
    return {one.per_second + other.per_second, one.burst + other.burst};
}

/** @return How long a contact between router and accountant stays valid.

    A router that changes its accountant, or falls back to its local share, may
    be counted twice for at most this long. The tolerated excess covers that.
*/
inline duration contact_timeout(const quota_bounds& bounds)
{
    constexpr duration shortest = std::chrono::milliseconds(200);
    constexpr duration longest = std::chrono::milliseconds(1000);
    const auto covered_time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(bounds.window) * bounds.excess);
    return std::clamp(covered_time, shortest, longest);
}

} // namespace roseworks
