#pragma once

#include <roseworks/instant.hpp>

#include <string>

namespace roseworks
{

/// When a model that no engine has is expected to be on one. Hint: the owner's
/// plan may change.
struct load_outlook
{
    std::string model; ///< its key
    instant ready;
};

} // namespace roseworks
