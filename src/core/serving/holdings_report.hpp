#pragma once

#include "core/serving/server_entry.hpp"

#include <cstdint>

namespace roseworks
{

/// An engine's report of its activity and models. It lags by several hundred
/// milliseconds.
struct holdings_report
{
    std::int64_t born_ms = 0;       ///< 0: not reported
    bool busy = false;              ///< an order is in progress
    bool leaving = false;           ///< the engine is about to end
    std::uint64_t orders_taken = 0; ///< accepted since the engine's start
    std::uint32_t running = 0;      ///< requests in progress
    std::uint32_t waiting = 0;      ///< queued requests
    engine_holdings holdings;
};

} // namespace roseworks
