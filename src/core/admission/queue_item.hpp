#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstdint>

namespace roseworks::detail
{

/// Interned number of a caller within one dispatcher.
using caller_number = std::uint32_t;

/// A waiting request as its queue sees it. Hint.
struct queue_item
{
    ticket id;
    instant deadline;
    instant enqueued; ///< first arrival; kept by retries
    priority level = priority::normal;
    caller_number caller = 0;
    std::uint16_t weight = 1; ///< the caller's share
    std::uint32_t cost = 1;   ///< work it is charged for, in tokens of 1/16
    bool long_prompt = false;
};

} // namespace roseworks::detail
