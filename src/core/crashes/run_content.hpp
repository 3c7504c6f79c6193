#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <algorithm>
#include <optional>
#include <vector>

namespace roseworks
{

/// A part of a prompt that other requests may share.
struct prompt_part
{
    fingerprint id; ///< hash of its name
    /// An answer on it has ended well of late.
    bool ran_well = false;
};

/// What a run on a backend server worked on. Any of it may crash the server.
struct run_content
{
    fingerprint request;            ///< hash of the whole request
    std::vector<prompt_part> parts; ///< in the order of the prompt
    /// When the server began to write the answer; empty: it didn't.
    std::optional<instant> began;
    /// Longest gap between two events of its answer.
    duration event_gap{};
};

/// @return Whether a part of the prompt may have ended the run. Such a part
///         crashes the server when it begins to write the answer.
inline bool may_be_part_crash(const run_content& run, instant broken_at)
{
    constexpr duration shortest_window = std::chrono::seconds(1);
    constexpr int gaps_per_window = 4;
    const duration window =
        std::max(shortest_window, gaps_per_window * run.event_gap);
    return !run.began || broken_at - *run.began <= window;
}

} // namespace roseworks
