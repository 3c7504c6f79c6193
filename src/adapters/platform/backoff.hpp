#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace roseworks::platform
{

/// Exponential backoff with jitter. The delay doubles up to a maximum, and each
/// delay is reduced by up to half at random so that the routers don't retry at
/// the same time.
class backoff
{
public:
    /// @param first   The first delay before the random reduction.
    /// @param maximum The maximum delay.
    /// @param seed    Seed of the random reductions.
    backoff(
        std::chrono::milliseconds first,
        std::chrono::milliseconds maximum,
        std::uint64_t seed);

    /// @return The delay before the next attempt.
    std::chrono::milliseconds next();

    /// Starts at the first delay again after an attempt succeeded.
    void reset();

private:
    std::chrono::milliseconds first;
    std::chrono::milliseconds maximum;
    std::chrono::milliseconds current;
    std::mt19937_64 random;
};

} // namespace roseworks::platform
