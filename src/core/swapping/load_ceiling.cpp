#include "core/swapping/load_ceiling.hpp"

#include <chrono>

namespace roseworks
{

load_ceiling::load_ceiling(options chosen)
    : settings(chosen)
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
    return running < this->settings.parallel &&
           static_cast<double>(this->starts.size()) + 1 <= most;
}

void load_ceiling::began(instant now)
{
    this->starts.push_back(now);
}

} // namespace roseworks
