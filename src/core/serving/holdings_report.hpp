#pragma once

#include "core/serving/server_entry.hpp"

#include <cstdint>

namespace roseworks
{

/// An engine's own report of what it does and holds. Lags by some hundred
/// milliseconds.
struct holdings_report
{
    std::int64_t born_ms = 0;       ///< 0: it didn't say
    bool busy = false;              ///< an order is being carried out
    std::uint64_t orders_taken = 0; ///< accepted since the engine's start
    std::uint32_t running = 0;      ///< requests
    std::uint32_t waiting = 0;      ///< requests
    engine_holdings holdings;
};

} // namespace roseworks
