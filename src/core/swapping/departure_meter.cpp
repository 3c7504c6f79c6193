#include "core/swapping/departure_meter.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

departure_meter::departure_meter(options chosen)
    : settings(chosen)
{
}

void departure_meter::seen(std::set<std::string> now_staying, instant now)
{
    for (const std::string& before : this->staying)
    {
        if (!now_staying.contains(before))
            this->departed.push_back(now);
    }
    this->staying = std::move(now_staying);
    while (!this->departed.empty() &&
           now - this->departed.front() >= this->settings.memory)
        this->departed.pop_front();
}

double departure_meter::chance() const
{
    const double all =
        static_cast<double>(std::max<std::size_t>(this->staying.size(), 1));
    const double share = static_cast<double>(this->departed.size()) / all;
    return std::clamp(share, this->settings.least, 1.0);
}

} // namespace roseworks
