#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <optional>

namespace roseworks
{

/** What length an interval is expected to have, from those seen.

    Smoothed mean and mean deviation with the gains of TCP's retransmission
    timer (RFC 6298). A hint.
*/
class interval_estimate
{
public:
    /// Samples below which nothing is expected.
    static constexpr std::uint32_t wanted_samples = 4;

    void add(duration sample);

    /// @return Twice the mean and four deviations; empty while unknown.
    std::optional<duration> longest_expected() const;

private:
    std::uint32_t samples = 0;
    duration mean{};
    duration deviation{};
};

} // namespace roseworks
