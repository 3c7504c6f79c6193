#pragma once

#include "core/trace/trace.hpp"
#include "core/trace/trace_profile.hpp"

#include <cstdint>

namespace roseworks
{

/** Generate a trace: the same, bit for bit, for the same profile and seed
    (Mersenne Twister and Boost.Random's distributions). Machines whose
    mathematical functions round differently may give other traces.

    Servables are mostly idle and wake for sessions: by chance, at a periodic
    caller's times, in bursts, for an overnight batch, or as the companion that
    a caller uses after another. Sessions by chance follow the hour of the day
    and are as many as the profile's share of waking servables leaves.

    @param profile What to generate.
    @param seed    Which one.
    @return        The trace, requests in order of time.
*/
trace generate_trace(const trace_profile& profile, std::uint64_t seed);

} // namespace roseworks
