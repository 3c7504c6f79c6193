#include "core/swapping/engine_loss_estimator.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

engine_loss_estimator::engine_loss_estimator(options chosen)
    : settings(chosen)
{
}

void engine_loss_estimator::update(
    std::set<std::string> now_present, instant now)
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

double engine_loss_estimator::loss_probability() const
{
    const double engine_count =
        static_cast<double>(std::max<std::size_t>(this->present.size(), 1));
    const double lost_share =
        static_cast<double>(this->loss_times.size()) / engine_count;
    return std::clamp(lost_share, this->settings.min_probability, 1.0);
}

} // namespace roseworks
