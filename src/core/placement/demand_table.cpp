#include "core/placement/demand_table.hpp"

#include <algorithm>

namespace roseworks::detail
{

void demand_table::update(const servable_demand& reported, instant now)
{
    if (reported.waiting != 0)
    {
        this->entries[reported.servable][reported.from] = {
            reported.waiting, reported.urgency, now};
        return;
    }
    const auto found = this->entries.find(reported.servable);
    if (found == this->entries.end())
    {
        return;
    }
    found->second.erase(reported.from);
    if (found->second.empty())
    {
        this->entries.erase(found);
    }
}

void demand_table::expire(instant now, duration max_age)
{
    for (auto& [servable, by_router] : this->entries)
    {
        std::erase_if(
            by_router,
            [&](const auto& item)
            {
                return now >= item.second.reported_at + max_age;
            });
    }
    std::erase_if(
        this->entries,
        [](const auto& item)
        {
            return item.second.empty();
        });
}

bool demand_table::contains(servable_id servable) const
{
    return this->entries.contains(servable);
}

demand_table::total demand_table::total_of(servable_id servable) const
{
    total sum;
    const auto found = this->entries.find(servable);
    if (found == this->entries.end())
    {
        return sum;
    }
    for (const auto& [router, reported] : found->second)
    {
        sum.waiting += reported.waiting;
        sum.urgency = std::min(sum.urgency, reported.urgency);
    }
    return sum;
}

std::optional<servable_demand>
demand_table::own_demand(servable_id servable) const
{
    const auto found = this->entries.find(servable);
    if (found == this->entries.end())
    {
        return {};
    }
    const auto own = found->second.find(own_session);
    if (own == found->second.end())
    {
        return {};
    }
    return servable_demand{
        servable, own->second.urgency, own->second.waiting, own_session};
}

std::vector<servable_demand> demand_table::own_demands() const
{
    std::vector<servable_demand> all;
    for (const auto& [servable, by_router] : this->entries)
    {
        const auto own = this->own_demand(servable);
        if (own)
        {
            all.push_back(*own);
        }
    }
    return all;
}

std::set<servable_id> demand_table::servables() const
{
    std::set<servable_id> all;
    for (const auto& [servable, by_router] : this->entries)
    {
        all.insert(servable);
    }
    return all;
}

} // namespace roseworks::detail
