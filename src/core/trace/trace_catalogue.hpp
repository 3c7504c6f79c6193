#pragma once

#include "core/trace/trace.hpp"
#include "core/trace/trace_profile.hpp"

#include <random>

namespace roseworks::detail
{

/// Fill in the models, adapters, engines and store of a trace.
void add_catalogue(
    trace& result, const trace_profile& profile, std::mt19937_64& random);

} // namespace roseworks::detail
