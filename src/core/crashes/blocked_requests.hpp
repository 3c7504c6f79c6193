#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace roseworks
{

/// Requests that backend servers' lives ended under, as one router knows them.
/// Immutable, for the traffic threads.
struct blocked_requests
{
    /// Requests under which several lives ended, with the end of the block.
    /// Afterwards a trial is due.
    std::unordered_map<fingerprint, instant> blocked_until;
    /// Requests under which any life ended.
    std::unordered_set<fingerprint> suspects;
};

using blocked_requests_ptr = std::shared_ptr<const blocked_requests>;

} // namespace roseworks
