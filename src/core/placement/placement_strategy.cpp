#include "core/placement/break_even.hpp"
#include "core/placement/fixed_ttl.hpp"

#include <roseworks/placement_strategy.hpp>

namespace roseworks
{

std::unique_ptr<placement_strategy>
make_placement_strategy(placement_kind kind, duration idle_ttl)
{
    switch (kind)
    {
    case placement_kind::fixed_ttl:
        return std::make_unique<detail::fixed_ttl>(idle_ttl);
    case placement_kind::break_even:
        return std::make_unique<detail::break_even>(idle_ttl);
    }
    return std::make_unique<detail::fixed_ttl>(idle_ttl);
}

} // namespace roseworks
