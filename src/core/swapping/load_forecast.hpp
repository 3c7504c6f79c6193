#pragma once

#include <roseworks/instant.hpp>

#include <string>

namespace roseworks
{

/// Time at which a model that no engine has is expected to be loaded. The
/// placement owner's plan, and so the time, may change.
struct load_forecast
{
    std::string model; ///< key of the model
    instant ready;
};

} // namespace roseworks
