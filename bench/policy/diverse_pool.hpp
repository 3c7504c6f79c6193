#pragma once

#include "core/trace/trace.hpp"

#include <cstdint>

namespace roseworks::bench
{

/// Which replicas the cheaper engines of a diverse pool are for.
enum class cheap_use : std::uint8_t
{
    none,     ///< there are no cheaper engines
    overflow, ///< what has no room on the others (the paper's order of types)
    slack,    ///< what a request of class `batch` wakes, else overflow
    small,    ///< the smaller half of the models, else overflow
    rare      ///< the half of the models used least so far, else overflow
};

/** Replace a part of the engines by more and cheaper ones, as "RIBBON:
    Cost-Effective and QoS-Aware Deep Learning Model Inference using a Diverse
    Pool of Cloud Computing Instances" does (its figure 4: five engines of one
    type become three, and four of a type that costs about a third and is slower
    by about 30 %). Of five engines two are replaced by four with half the
    memory and caches each.

    @param source A trace on equal engines.
    @return       The same with a diverse pool.
*/
trace make_diverse_pool(const trace& source);

} // namespace roseworks::bench
