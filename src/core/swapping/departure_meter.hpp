#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace roseworks
{

/** How likely an engine is to go away soon, by how many of them did lately.

    Load pattern: the engines of a release, or of a failed rack, go one after
   the other within seconds, and what only they had on their disks goes with
   them. Hint.
*/
class departure_meter
{
public:
    struct options
    {
        /// An engine that went so long ago says little of the next one.
        duration memory = std::chrono::seconds(30);
        /// Of an engine that nothing is known of: some in a hundred crash or
        /// are taken away within a minute.
        double least = 0.02;
    };

    explicit departure_meter(options settings);

    /// @param staying Ids of the engines that are there and don't leave.
    void seen(std::set<std::string> staying, instant now);

    /// @return Chance that an engine goes away within the memory's time.
    double chance() const;

private:
    options settings;
    std::set<std::string> staying;
    std::deque<instant> departed; ///< lately, the last one last
};

} // namespace roseworks
