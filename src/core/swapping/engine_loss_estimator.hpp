#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace roseworks
{

/** Estimates the probability that an engine is lost soon, from recent losses.

    Engines that are replaced by a release, or that share a failed rack, go one
    after the other within seconds. Weights that only their disks have are lost
    with them. The estimate only guides decisions; correctness doesn't depend
    on it.
*/
class engine_loss_estimator
{
public:
    struct options
    {
        /// Older losses say little about the next one.
        duration window = std::chrono::seconds(30);
        /// Lower bound of the estimate, for when few engines were lost
        /// recently: a few in a hundred crash or are removed within a minute.
        double min_probability = 0.02;
    };

    explicit engine_loss_estimator(options settings);

    /// Counts the engines that are gone since the previous call as lost.
    /// @param present Ids of the engines that are listed and not leaving.
    void update(std::set<std::string> present, instant now);

    /// @return Probability that an engine is lost within the window.
    double loss_probability() const;

private:
    options settings;
    std::set<std::string> present;
    std::deque<instant> loss_times; ///< within the window, newest last
};

} // namespace roseworks
