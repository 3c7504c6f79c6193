#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace roseworks::bench
{

/// A call of the experiment, and what became of it.
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

/** Calls at random times with prefixes by Zipf's law.

    @param rate    Calls a second.
    @param from    After this time.
    @param until   The last call is the first at or after this time.
    @param routers The number of routers, drawn evenly.
    @param random  What the calls are drawn by.
    @return        The calls in order of time.
*/
std::vector<affinity_call> make_affinity_calls(
    double rate,
    instant from,
    instant until,
    std::size_t routers,
    std::mt19937_64& random);

} // namespace roseworks::bench
