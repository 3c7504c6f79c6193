#include "adapters/metrics/metrics_registry.hpp"

#include <algorithm>
#include <cassert>
#include <ostream>
#include <utility>

namespace roseworks::metrics
{

void metrics_registry::write(std::ostream& out) const
{
    const std::lock_guard lock(this->mutex);
    for (const auto& each : this->metrics)
        each->write(out);
}

void metrics_registry::register_metric(std::unique_ptr<metric> added)
{
    const std::lock_guard lock(this->mutex);
    const auto same_name = [&added](const std::unique_ptr<metric>& other)
    {
        return other->name() == added->name();
    };
    assert(std::ranges::none_of(this->metrics, same_name));
    (void)same_name;
    this->metrics.push_back(std::move(added));
}

} // namespace roseworks::metrics
