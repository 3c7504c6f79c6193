#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>

namespace roseworks
{

/** Keeps loads from the shared weight store under its rate.

    Load pattern: models that are on no engine's disk are asked for together.
    The store then is the bottleneck for seconds a load; more loads at once only
    make each longer, and more than its rate in a window is refused to the
    deployment as a whole. A new owner doesn't know the loads of the one before
    and starts with a full window counted as used.
*/
class load_ceiling
{
public:
    struct options
    {
        duration window = std::chrono::seconds(5);
        double factor = 1.1;
        /// Of the rate that is used: loads that an owner before this one began
        /// may be counted in the same window.
        double caution = 0.8;
        /// Loads at once, until it was seen how many the store does at full
        /// speed: beyond that each only takes longer in proportion.
        std::size_t parallel = 4;
        std::size_t most_parallel = 16;
        /// A load that takes so much longer than stated was slowed down by
        /// others. (The report that shows its end lags by 0.2 s.)
        double slowed = 1.2;
    };

    explicit load_ceiling(options settings);

    /// @param per_second that the store allows.
    /// @param running    loads from the store now.
    bool allows(double per_second, std::size_t running, instant now);

    /// @return Loads that the store does at once at full speed, as seen.
    std::size_t most_at_once() const
    {
        return this->parallel;
    }

    void began(instant now);

    /// A load has ended.
    /// @param at_once The most loads that ran beside it, itself included.
    void ended(duration took, duration stated, std::size_t at_once);

private:
    options settings;
    std::size_t parallel; ///< as seen
    std::deque<instant> starts;
};

} // namespace roseworks
