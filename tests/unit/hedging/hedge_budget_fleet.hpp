#pragma once

#include "quota_fleet.hpp"

#include <cstddef>
#include <vector>

namespace roseworks::testing
{

/// Simulates many routers that want to hedge each request of one service.
class hedge_budget_fleet : public quota_fleet
{
public:
    static constexpr double share = 0.02;
    static constexpr duration window = 10s;

    /// Waits until all routers had time to choose an accountant.
    explicit hedge_budget_fleet(std::size_t routers);

    /// Sends requests to random routers, each of which wants a hedge.
    void receive(duration length, double requests_per_second);

    /// @return The most by which the hedges of any complete window exceed
    ///         `share` x the requests of this window; negative when all stay
    ///         below.
    double worst_excess() const;

    /// @return The hedges since the given time, as a share of the requests.
    double hedged_share(instant from) const;

    std::size_t hedge_count() const
    {
        return this->recorded_uses().size();
    }

private:
    std::vector<instant> hedge_times() const;

    std::vector<instant> request_times; ///< in order
};

} // namespace roseworks::testing
