#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace roseworks::detail
{

/** Tracks recent failures of one backend server and ejects it.

    A server is ejected after `consecutive_limit` failures in a row, or when the
    moving average of its failure rate exceeds `rate_limit`. Each ejection lasts
    twice as long as the one before, up to `longest_ejection`. A success after
    an ejection halves the next one. Advisory: nothing is decided by it.
*/
class server_health
{
public:
    static constexpr std::uint32_t consecutive_limit = 3;
    static constexpr double rate_limit = 0.5;
    static constexpr std::uint32_t rate_samples = 10;
    static constexpr duration first_ejection = std::chrono::seconds(5);
    static constexpr duration longest_ejection = std::chrono::minutes(5);

    void succeeded(instant now);
    void failed(instant now);

    /// @return Whether it is ejected. `ejection_allowance` limits how many of
    ///         the ejected servers are left out.
    bool ejected(instant now) const
    {
        return now < this->ejection_end;
    }

    instant ejected_until() const
    {
        return this->ejection_end;
    }

private:
    void eject(instant now);

    std::uint32_t consecutive_failures = 0;
    std::uint32_t samples = 0;
    double failure_rate = 0;
    std::uint32_t ejections = 0;
    instant ejection_end = instant::min();
};

/// @return How many of `ready` replicas may be ejected at a time: half of them,
///         rounded down, so that a model keeps at least one.
constexpr std::size_t ejection_allowance(std::size_t ready)
{
    return ready / 2;
}

} // namespace roseworks::detail
