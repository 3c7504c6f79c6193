#pragma once

#include "quota_fleet.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace roseworks::testing
{

/** Simulates many routers that retry the requests of one service, whose servers
    fail them. What reaches the servers is judged in any sliding window. */
class retry_fleet : public quota_fleet
{
public:
    using quota_fleet::quota_fleet;

    struct load
    {
        double requests_per_second = 16; ///< over all routers
        double retried_share = 1;        ///< requests that need a retry
        /// Longest time from a request to its retry.
        duration longest_delay{};
    };

    /// Sends requests to random routers. Without weights, all are equally
    /// likely.
    void receive(
        duration length, const load& offered, std::vector<double> weights = {});

    /** @return The most by which the retries of any window exceed what its
        requests allow; negative when all stay below.

        The requests are those of the window, of the window before it or of the
        one half a window before it, whichever are most. */
    double worst_excess(const retry_allowance& allowance) const;

    /** @return The smallest fraction of the allowance that was used in any
        window that begins within the given time. */
    double least_used(
        instant from, instant until, const retry_allowance& allowance) const;

    std::size_t retry_count() const
    {
        return this->recorded_uses().size();
    }

private:
    std::vector<instant> retry_times() const;
    /// @return The retries that a window may hold.
    double allowed_from(instant start, const retry_allowance& allowance) const;

    std::vector<instant> request_times; ///< in order
};

} // namespace roseworks::testing
