#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace roseworks
{

/// Requests, and parts of prompts, that backend servers' lives ended under, as
/// one router knows them. Immutable, for the traffic threads.
struct blocked_requests
{
    /// Those under which several lives ended, with the end of the block.
    /// Afterwards a trial is due.
    std::unordered_map<fingerprint, instant> blocked_until;
    /// Blocked ones that any router may try when the block ends.
    std::unordered_set<fingerprint> tried_at_once;
    /// Time from the end of a block until this router may try, for those that
    /// the routers try in an order.
    std::unordered_map<fingerprint, duration> trial_delays;
    /// Those under which any life ended.
    std::unordered_set<fingerprint> suspects;
};

using blocked_requests_ptr = std::shared_ptr<const blocked_requests>;

} // namespace roseworks
