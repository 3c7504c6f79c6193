#include "core/placement/fixed_ttl.hpp"

namespace roseworks::detail
{

fixed_ttl::fixed_ttl(duration time_to_live)
    : ttl(time_to_live)
{
}

void fixed_ttl::used(servable_id, instant) {}

duration fixed_ttl::hold(const servable_view&, const policy_spec&) const
{
    return this->ttl;
}

double fixed_ttl::eviction_value(
    const servable_view&, duration idle, const policy_spec&) const
{
    return static_cast<double>(idle.count());
}

} // namespace roseworks::detail
