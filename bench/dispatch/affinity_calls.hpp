#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace roseworks::bench
{

/// A call of the experiment and its outcome.
struct affinity_call
{
    instant at;
    std::size_t router = 0;
    std::uint64_t prefix = 0;
    duration decode{};
    ticket id;
    std::size_t engine = 0;
    instant sent;
    duration first_byte{};
};

/** Generates Poisson arrivals with prefixes that follow Zipf's law.

    @param rate    Calls a second.
    @param from    Start of the arrivals.
    @param until   The first call at or after this time is the last one.
    @param routers Number of routers; each call goes to a random one.
    @param random  Random number generator to use.
    @return        The calls in order of time.
*/
std::vector<affinity_call> make_affinity_calls(
    double rate,
    instant from,
    instant until,
    std::size_t routers,
    std::mt19937_64& random);

} // namespace roseworks::bench
