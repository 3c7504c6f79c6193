#pragma once

#include <roseworks/dispatcher.hpp>

#include <cstdint>

namespace roseworks::detail
{

/// Number that identifies a caller within one dispatcher.
using caller_number = std::uint32_t;

/// The properties of a waiting request that its queue needs.
struct queue_item
{
    ticket id;
    instant deadline;
    /// Latency objective; `max`: none.
    instant objective = instant::max();
    instant enqueued; ///< arrival of the request; unchanged by retries
    priority level = priority::normal;
    std::uint8_t rank = 0; ///< within `level`, if objectives go first
    caller_number caller = 0;
    std::uint16_t weight = 1; ///< the caller's weight in `fair_share`
    std::uint32_t cost = 1;   ///< work units that the caller is charged
    bool long_prompt = false;
};

} // namespace roseworks::detail
