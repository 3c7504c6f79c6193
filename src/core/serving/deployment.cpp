#include "core/serving/deployment.hpp"

#include <algorithm>

namespace roseworks
{

duration path_route::first_event_timeout() const
{
    /// As the platform defines it: the longest of two seconds, four times the
    /// objective and eight times the longest gap between events.
    constexpr duration min_timeout = std::chrono::seconds(2);
    constexpr int objective_factor = 4;
    constexpr int gap_factor = 8;
    if (this->kind != request_kind::streaming)
        return this->timeout;
    const duration abandon_time = std::max(
        {min_timeout,
         this->objective * objective_factor,
         this->max_event_gap * gap_factor});
    return std::min(this->timeout, abandon_time);
}

duration path_route::max_queue_time() const
{
    /// Network time of the request to this router and of the refusal back.
    constexpr duration round_trip = std::chrono::milliseconds(100);
    const bool is_bounded = this->kind == request_kind::streaming &&
                            !this->resumable &&
                            this->first_event_timeout() > round_trip;
    return is_bounded ? this->first_event_timeout() - round_trip
                      : this->timeout;
}

const service_profile* deployment::find_service(std::string_view name) const
{
    const auto found =
        std::ranges::find(this->services, name, &service_profile::name);
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace roseworks
