#pragma once

#include <chrono>
#include <cstdint>

namespace roseworks
{

/** The monotonic clock of one process.

    The core never reads a clock. Every event carries the instant at which it
    happened, so tests and replays can use virtual time. Instants of different
    processes can't be compared.
*/
struct monotonic_time
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_time>;
    static constexpr bool is_steady = true;
};

/// A length of time, in microseconds.
using duration = monotonic_time::duration;

/// A point in time of the process's monotonic clock.
using instant = monotonic_time::time_point;

/// Wall-clock milliseconds since 1970, as stamped on a record by its author.
/// Compared only through `fleet_state::log_time`; never used for leases.
using stamp_ms = std::int64_t;

} // namespace roseworks
