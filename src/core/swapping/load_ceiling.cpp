#include "core/swapping/load_ceiling.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace roseworks
{

load_ceiling::load_ceiling(options chosen)
    : settings(chosen)
    , parallel(chosen.parallel)
{
}

bool load_ceiling::allows(double per_second, std::size_t running, instant now)
{
    while (!this->starts.empty() &&
           now - this->starts.front() > this->settings.window)
        this->starts.pop_front();
    const double seconds =
        std::chrono::duration<double>(this->settings.window).count();
    const double most =
        per_second * seconds * this->settings.factor * this->settings.caution;
    return running < this->most_at_once() &&
           static_cast<double>(this->starts.size()) + 1 <= most;
}

void load_ceiling::began(instant now)
{
    this->starts.push_back(now);
}

void load_ceiling::ended(duration took, duration stated, std::size_t at_once)
{
    const double times =
        static_cast<double>(took.count()) /
        static_cast<double>(std::max<duration::rep>(stated.count(), 1));
    if (times >= this->settings.slowed)
        this->parallel = std::max<std::size_t>(
            std::lround(static_cast<double>(at_once) / times), 1);
    else if (at_once >= this->parallel)
        this->parallel =
            std::min(this->parallel + 1, this->settings.most_parallel);
}

} // namespace roseworks
