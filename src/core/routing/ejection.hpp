#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>

namespace roseworks::detail
{

/** How one backend server did lately, and whether it is ejected.

    Ejected after consecutive failures, or when most of its recent attempts
    failed; each time for twice as long, up to a limit. A success after an
    ejection halves the next one. Hint.
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

    /// @return Whether it would be left out, the floor aside.
    bool ejected(instant now) const
    {
        return now < this->until;
    }

    /// @return When its ejection ends.
    instant ejected_until() const
    {
        return this->until;
    }

private:
    void eject(instant now);

    std::uint32_t consecutive = 0;
    std::uint32_t samples = 0;
    double failure_rate = 0;
    std::uint32_t ejections = 0;
    instant until = instant::min();
};

/// @return How many of so many ready replicas may be ejected at a time: half,
///         rounded down, so that a model never loses its last.
constexpr std::size_t ejection_allowance(std::size_t ready)
{
    return ready / 2;
}

} // namespace roseworks::detail
