#pragma once

#include <chrono>
#include <cstdint>

namespace roseworks
{

/** The monotonic time line of one process.

    The core never reads a clock: every event carries the instant at which it
    happened, so that tests and replays run on virtual time. Instants of two
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

/// A point on the process's monotonic time line.
using instant = monotonic_time::time_point;

/// Wall-clock milliseconds since 1970, as stamped on a record by its author.
/// Only compared through the log time of `fleet_state`; never for leases.
using stamp_ms = std::int64_t;

} // namespace roseworks
