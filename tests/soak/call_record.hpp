#pragma once

#include "tests/support/http_call.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks::test
{

using steady_time = std::chrono::steady_clock::time_point;

/// What kind of call it is.
enum class call_kind
{
    completion,
    stream,
    dispatch,
};

/// One call as its caller saw it.
struct call_record
{
    std::string request_id;
    std::string key; ///< idempotency key, empty: none
    call_kind kind = call_kind::completion;
    std::string prompt;       ///< of a completion
    std::uint64_t tokens = 0; ///< asked of a completion
    std::chrono::milliseconds deadline{0};
    std::size_t router = 0;
    steady_time begin;
    steady_time end;
    http_reply reply;
};

/// A span in which something was away.
struct outage
{
    std::size_t which = 0; ///< router or engine
    steady_time begin;
    steady_time end;
};

/// @return Whether a call overlaps an outage, whatever it was sent to.
inline bool overlaps(const call_record& call, const outage& away)
{
    return call.begin <= away.end && away.begin <= call.end;
}

} // namespace roseworks::test
