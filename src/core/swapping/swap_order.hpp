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
};

} // namespace roseworks
