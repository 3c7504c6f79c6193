#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace roseworks::platform
{

/// Delays between attempts: doubling up to a limit, each cut by up to a half
/// at random so that routers don't return in step.
class backoff
{
public:
    /// @param first   The first delay, before the cut.
    /// @param longest No delay is longer.
    /// @param seed    Of the random cuts.
    backoff(
        std::chrono::milliseconds first,
        std::chrono::milliseconds longest,
        std::uint64_t seed);

    /// @return The next delay.
    std::chrono::milliseconds next();

    /// An attempt succeeded: begin at the first delay again.
    void reset();

private:
    std::chrono::milliseconds first;
    std::chrono::milliseconds longest;
    std::chrono::milliseconds current;
    std::mt19937_64 random;
};

} // namespace roseworks::platform
