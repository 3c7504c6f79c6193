#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <vector>

namespace roseworks::testing
{

/// A request of the simulated callers.
struct simulated_request
{
    enum class origin
    {
        repeated, ///< one content that crashes each server, again and again
        innocent, ///< a content of its own or a common one
        prompt    ///< a content of its own, with a prompt in parts
    };

    origin from = origin::innocent;
    fingerprint content;
    std::vector<fingerprint> parts; ///< that other requests share
    /// Crashes each server that begins to write an answer.
    bool is_crashing = false;
    int retries_left = 0;
    bool is_first_attempt = true;
    duration begins_after{}; ///< from its start on a server
    duration ends_after{};   ///< from its start on a server
};

} // namespace roseworks::testing
