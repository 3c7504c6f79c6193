#pragma once

#include "core/crashes/crash_evidence.hpp"
#include "core/crashes/server_life.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks
{

/// A change of what a router knows of a request, or a part of prompts, that may
/// crash servers.
struct crash_change
{
    enum class kind : std::uint8_t
    {
        recorded, ///< a life ended while it ran the request
        blocked,  ///< it is refused from now on, for longer than before
        cleared   ///< it has run well
    };

    kind what = kind::recorded;
    fingerprint request;  ///< hash of the content or the part
    bool is_part = false; ///< a part of prompts
    server_life life;     ///< of a recorded crash
    crash_evidence evidence = crash_evidence::unreachable;
    duration age{};            ///< of a recorded crash
    std::size_t lives = 0;     ///< that ended, or whose records were cleared
    duration blocked_for{};    ///< of a blocked request
    std::size_t explained = 0; ///< lives whose end all blocked parts explain
    std::string from;          ///< name of the router; empty: this one
};

} // namespace roseworks
