#include "core/swapping/departure_meter.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

departure_meter::departure_meter(options chosen)
    : settings(chosen)
{
}

void departure_meter::update(std::set<std::string> now_present, instant now)
{
    for (const std::string& id : this->present)
    {
        if (!now_present.contains(id))
            this->loss_times.push_back(now);
    }
    this->present = std::move(now_present);
    while (!this->loss_times.empty() &&
           now - this->loss_times.front() >= this->settings.window)
        this->loss_times.pop_front();
}

double departure_meter::loss_probability() const
{
    const double engine_count =
        static_cast<double>(std::max<std::size_t>(this->present.size(), 1));
    const double lost_share =
        static_cast<double>(this->loss_times.size()) / engine_count;
    return std::clamp(lost_share, this->settings.min_probability, 1.0);
}

} // namespace roseworks
