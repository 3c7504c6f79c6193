#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>

namespace roseworks
{

/** Estimates the length of an interval from samples.

    Uses a smoothed mean and mean deviation with the gains of TCP's
    retransmission timer (RFC 6298).

    Advisory: an error here cannot break a guarantee.
*/
class interval_estimate
{
public:
    /// With fewer samples than this there is no estimate.
    static constexpr std::uint32_t min_samples = 4;

    void add(duration sample);

    /// @return Twice the mean plus four mean deviations; empty if there are too
    ///         few samples.
    std::optional<duration> upper_bound() const;

private:
    std::uint32_t samples = 0;
    duration mean{};
    duration deviation{};
};

} // namespace roseworks
