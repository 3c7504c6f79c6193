#include "core/serving/deployment.hpp"

#include <algorithm>

namespace roseworks
{

duration path_route::patience() const
{
    /// As the platform defines it: the longest of two seconds, four times the
    /// objective and eight times the longest gap between events.
    constexpr duration least = std::chrono::seconds(2);
    constexpr int objectives = 4;
    constexpr int gaps = 8;
    if (this->kind != repetition::streaming)
        return this->timeout;
    const duration longest = std::max(
        {least, this->objective * objectives, this->longest_gap * gaps});
    return std::min(this->timeout, longest);
}

duration path_route::longest_wait() const
{
    /// Network time of the request to this router and of the refusal back.
    constexpr duration ways = std::chrono::milliseconds(100);
    const bool bounded = this->kind == repetition::streaming &&
                         !this->resumable && this->patience() > ways;
    return bounded ? this->patience() - ways : this->timeout;
}

const service_profile* deployment::find_service(std::string_view name) const
{
    const auto found =
        std::ranges::find(this->services, name, &service_profile::name);
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace roseworks
