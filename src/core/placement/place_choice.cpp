#include "core/placement/place_choice.hpp"

#include <algorithm>

namespace roseworks::detail
{

bool victim_plan::cheaper_than(const victim_plan& other) const
{
    return this->replicas.size() != other.replicas.size()
               ? this->replicas.size() < other.replicas.size()
               : this->least_value > other.least_value;
}

victim_plan
choose_victims(std::span<const victim> candidates, std::uint64_t to_free)
{
    std::vector<victim> ordered(candidates.begin(), candidates.end());
    std::sort(
        ordered.begin(),
        ordered.end(),
        [](const victim& one, const victim& other)
        {
            return one.value != other.value ? one.value > other.value
                                            : one.replica < other.replica;
        });
    victim_plan plan;
    std::uint64_t freed = 0;
    for (const victim& item : ordered)
    {
        if (freed >= to_free)
        {
            break;
        }
        freed += item.memory_mib;
        plan.replicas.push_back(item.replica);
        plan.least_value = item.value;
    }
    plan.possible = freed >= to_free;
    return plan;
}

} // namespace roseworks::detail
