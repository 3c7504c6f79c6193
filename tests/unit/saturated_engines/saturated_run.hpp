#pragma once

#include "saturated_fleet.hpp"

#include <cstddef>
#include <functional>

namespace roseworks::testing
{

/// Time that routers have to learn which engines are saturated.
constexpr duration learning_time = 2s;
constexpr duration peak_length = 10s;

/// What the engines did in a peak.
struct saturated_outcome
{
    double used = 0;         ///< share of what the engines can answer
    double prompt_share = 0; ///< of the answers
    std::size_t longest_queue = 0;
};

/// @return Options of a fleet before 4 engines of 12 slots.
saturated_fleet::options engines_of_12_slots(std::size_t routers);

/// @return The most requests that may wait at an engine, two in transit
///         included.
std::size_t longest_allowed_queue(const saturated_fleet::options& config);

/** Sends a peak, prints what the engines did after `learning_time`, and checks
    the use of their room and the length of their queues.

    @param load    Requests, as a multiple of what the engines can run.
    @param at_peak Called in the middle of the peak.
*/
void expect_room_is_used_well(
    const char* name,
    saturated_fleet& fleet,
    const saturated_fleet::options& config,
    double load,
    const std::function<void()>& at_peak = [] {});

} // namespace roseworks::testing
