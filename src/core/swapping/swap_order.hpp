#pragma once

#include "core/swapping/engine_tracker.hpp"

#include <cstdint>
#include <string>

namespace roseworks
{

/// An order that should be sent now.
struct swap_order
{
    std::string engine; ///< id of the engine's entry
    engine_action action = engine_action::load;
    std::string model;
    std::string adapter; ///< empty: the base model
    weight_source source = weight_source::disk;
    std::uint32_t waiting = 0; ///< requests that wait for it
    // Why it was ordered; 0 if the number of copies doesn't follow demand.
    std::size_t copies = 0; ///< present ones, those being loaded included
    std::size_t copies_needed = 0; ///< for the requests that run and wait
    std::uint32_t free_slots = 0;  ///< of the engine
};

} // namespace roseworks
