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
        /// Loads at once; beyond it each takes longer in proportion (4 at full
        /// speed as measured, 6.2 s each; 8 took up to 12.2 s).
        std::size_t parallel = 4;
    };

    explicit load_ceiling(options settings);

    /// @param per_second that the store allows.
    /// @param running    loads from the store now.
    bool allows(double per_second, std::size_t running, instant now);

    void began(instant now);

private:
    options settings;
    std::deque<instant> starts;
};

} // namespace roseworks
