#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>

namespace roseworks
{

/** Limits the rate and the concurrency of loads from the shared weight store.

    Models that are on no engine's disk may be requested together. The store is
    the bottleneck then, for seconds per load: further concurrent loads only
    make each one slower, and the store refuses loads to the whole deployment
    when more than its rate start within a window. A new placement owner doesn't
    know which loads the previous owner started, so only a share of the limit
    is used.
*/
class store_load_limiter
{
public:
    struct options
    {
        duration window = std::chrono::seconds(5);
        /// Loads that the store accepts within a window, as a multiple of its
        /// rate.
        double rate_factor = 1.1;
        /// Share of the limit that is used: the store may count loads that the
        /// previous owner started in the same window.
        double usable_share = 0.8;
        /// Concurrent loads until the store's capacity has been observed.
        /// Beyond its capacity each load takes longer in proportion.
        std::size_t initial_concurrency = 4;
        std::size_t max_concurrency = 16;
        /// A load whose duration exceeds the configured one by this factor was
        /// slowed down by concurrent loads. The factor allows for the report
        /// that shows the load's end, which lags by 0.2 s.
        double slowdown_threshold = 1.2;
    };

    explicit store_load_limiter(options settings);

    /// @param per_second Loads per second that the store allows.
    /// @param running    Loads from the store that are in progress.
    /// @return Whether another load may start now.
    bool may_start(double per_second, std::size_t running, instant now);

    /// @return Observed number of concurrent loads that the store serves at
    ///         full speed.
    std::size_t concurrency_limit() const
    {
        return this->concurrency;
    }

    void load_started(instant now);

    /// Adjusts the concurrency limit after a load has ended.
    /// @param measured   Measured duration.
    /// @param configured Duration according to the configuration.
    /// @param concurrent Peak number of concurrent loads while this one ran,
    ///                   itself included.
    void
    load_ended(duration measured, duration configured, std::size_t concurrent);

private:
    options settings;
    std::size_t concurrency;         ///< current concurrency limit
    std::deque<instant> start_times; ///< within the window, oldest first
};

} // namespace roseworks
