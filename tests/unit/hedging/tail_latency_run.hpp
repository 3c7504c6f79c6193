#pragma once

#include "hedging_fleet.hpp"

#include <cmath>
#include <cstddef>
#include <functional>

#include <criterion/criterion.h>

namespace roseworks::testing
{

using slowness = std::function<double(std::size_t server, instant now)>;

/// Requests per second of one router, so that each has enough samples.
inline constexpr double rate_of_router = 6.7;

inline constexpr std::size_t fleet_sizes[] = {7, 84, 300};

inline hedging_fleet::options make_options(std::size_t routers, double share)
{
    hedging_fleet::options made;
    made.routers = routers;
    made.servers = 60;
    made.requests_per_second =
        std::max(rate_of_router * static_cast<double>(routers), 250.0);
    made.slots = routers > 84 ? 48 : 12;
    made.share = share;
    return made;
}

struct outcome
{
    double p99_ms = 0;
    double extra = 0;
};

inline outcome measure(std::size_t routers, double share, const slowness& how)
{
    hedging_fleet fleet(make_options(routers, share));
    fleet.slowness = how;
    fleet.run(35s);
    fleet.reset();
    fleet.run(30s);
    return {
        std::chrono::duration<double, std::milli>(fleet.percentile(0.99))
            .count(),
        fleet.extra_share()};
}

/// Requires the p99 to fall to a fraction of that without hedges.
inline void assert_tail_falls_to(double fraction, const slowness& how)
{
    for (const std::size_t routers : fleet_sizes)
    {
        const outcome without = measure(routers, 0, how);
        const outcome with = measure(routers, 0.02, how);
        cr_log_info(
            "%zu routers: p99 %.0f ms, was %.0f ms, extra %.4f",
            routers,
            with.p99_ms,
            without.p99_ms,
            with.extra);
        cr_expect_leq(with.extra, 0.02);
        cr_expect_leq(
            with.p99_ms,
            without.p99_ms * fraction,
            "%zu routers: p99 %.0f ms, was %.0f ms",
            routers,
            with.p99_ms,
            without.p99_ms);
    }
}

} // namespace roseworks::testing
