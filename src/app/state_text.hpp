#pragma once

#include "app/control_loop.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::app
{

/// What `/state` says besides the control loop's own knowledge.
struct state_text_frame
{
    std::string_view router;
    std::string_view data_centre;
    std::uint64_t queued = 0;
    std::uint64_t in_flight = 0;
    stamp_ms taken_at = 0; ///< wall clock
};

/// @return The JSON of `/state`. Hashes the whole state: its cost grows with
///         the number of servables. On the control thread.
std::string
make_state_text(const control_loop& loop, const state_text_frame& frame);

} // namespace roseworks::app
