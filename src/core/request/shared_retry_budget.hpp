#pragma once

#include <roseworks/instant.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace roseworks
{

/** This router's share of the retries that all routers together may send to one
    service within a sliding window.

    Load pattern: a service loses servers, and every request on them fails at
    the same moment on all routers. The total allowance is a ratio of the
    requests in the window plus a fixed number. Each router uses the ratio of
    its own requests plus an equal share of the fixed number, so the routers
    need not communicate. The window slides in steps of a tenth of its length.

    Advisory: an error here cannot break a guarantee.
*/
class shared_retry_budget
{
public:
    struct options
    {
        double ratio = 0.2; ///< retries per request
        double extra = 50;  ///< additional retries, over all routers
        duration window = std::chrono::seconds(10);
        /// Fraction of the allowance that is used. The windows are not aligned:
        /// a request counted here may fall into another window elsewhere.
        double usable_fraction = 0.7;
    };

    explicit shared_retry_budget(options settings);

    /// Counts a caller's request to the service.
    void record_request(instant now);

    /// Counts a retry if it is allowed.
    /// @param routers Number of routers that share the allowance, including
    ///                this one.
    /// @return        Whether the retry may be sent.
    bool withdraw(std::size_t routers, instant now);

    /// @return Number of retries that may be sent now.
    std::size_t available(std::size_t routers, instant now);

private:
    // One slice more than a window has, because the newest is incomplete.
    static constexpr std::size_t slices_per_window = 10;
    static constexpr std::size_t slice_count = slices_per_window + 1;

    struct slice
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    void advance(instant now);

    options settings;
    std::array<slice, slice_count> slices{};
    std::int64_t newest = 0; ///< index of the newest slice since the epoch
    bool started = false;
};

} // namespace roseworks
