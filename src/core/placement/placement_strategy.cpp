#include "core/placement/break_even.hpp"
#include "core/placement/fixed_ttl.hpp"
#include "core/placement/gap_cost.hpp"
#include "core/placement/periodic_callers.hpp"
#include "core/placement/preload_source.hpp"

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
    case placement_kind::unset:
    case placement_kind::break_even:
        break;
    case placement_kind::gap_cost:
    case placement_kind::gap_cost_preload:
        return std::make_unique<detail::gap_cost>(idle_ttl);
    }
    return std::make_unique<detail::break_even>(idle_ttl);
}

std::unique_ptr<preload_source> make_preload_source(placement_kind kind)
{
    return kind == placement_kind::gap_cost_preload
               ? std::make_unique<detail::periodic_callers>()
               : nullptr;
}

} // namespace roseworks
