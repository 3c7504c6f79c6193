#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace roseworks::tools
{

/// What a caller was told.
enum class call_outcome : std::uint8_t
{
    answered,     ///< the whole answer to this request
    damaged,      ///< `answered`, but not whole or another request's
    not_run,      ///< refused; the router promises that nothing ran
    may_have_run, ///< refused or cut, and said so
    no_answer,    ///< the connection failed or the time was over
    not_sent      ///< too many were in flight already
};

/// What became of one planned call. Times count from when it was planned for,
/// so that a slow answer never hides the wait of the next (open loop).
struct call_result
{
    call_outcome outcome = call_outcome::no_answer;
    unsigned status = 0;
    std::string reason;                     ///< of a refusal
    std::chrono::nanoseconds sent{};        ///< behind the plan
    std::chrono::nanoseconds first_token{}; ///< 0: none came
    std::chrono::nanoseconds total{};
    bool was_cold = false; ///< no engine held its model ready when last seen
};

/// @return The word used in figures and JSON.
const char* to_string(call_outcome outcome);

} // namespace roseworks::tools
