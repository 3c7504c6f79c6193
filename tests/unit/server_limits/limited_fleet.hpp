#pragma once

#include "router_fleet.hpp"

#include <cstddef>
#include <vector>

namespace roseworks::testing
{

/// A fleet whose first engine can announce a rate limit in its answers.
class limited_fleet final : public router_fleet
{
public:
    struct options : router_fleet::options
    {
        double per_second = 2; ///< limit that the first engine announces
        /// Shortest service time; the longest is twice that.
        duration service = 150ms;
    };

    explicit limited_fleet(const options& settings);

    /// Makes the first engine start or stop announcing its limit.
    void announce_limit(bool announces)
    {
        this->announced_since = announces ? this->now() : instant::max();
    }

    /// @return The most requests that the limited engine got within 4 s. Those
    ///         in the first 500 ms after it announced its limit don't count.
    std::size_t worst_window() const;

    /// @return The limit for `worst_window`.
    double allowed() const;

    /// @return Requests that the limited engine got in the last `length`.
    std::size_t arrived_within(duration length) const;

private:
    struct arrival
    {
        instant when;
        bool is_counted = false; ///< the routers should know the limit by then
    };

    void run_request(std::size_t number, const grant& granted) override;
    void answer(std::size_t number, const grant& granted, instant sent);

    options settings;
    std::vector<arrival> arrivals; ///< at the limited engine
    instant announced_since = instant::max();
};

} // namespace roseworks::testing
