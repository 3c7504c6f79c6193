#include "core/placement/visit_filter.hpp"

#include "core/placement/periodic_callers.hpp"

namespace roseworks::detail
{

namespace
{

constexpr duration tell_interval = periodic_callers::visit_pause / 2;
constexpr duration sweep_interval = std::chrono::minutes(1);

} // namespace

bool visit_filter::should_tell(const servable_use& use)
{
    const std::pair key{use.caller, use.servable};
    const auto known = this->told.find(key);
    if (known != this->told.end())
    {
        if (use.at - known->second < tell_interval)
        {
            return false;
        }
        known->second = use.at;
        return true;
    }
    if (this->told.size() >= most_known && !this->make_room(use.at))
    {
        return false;
    }
    this->told.emplace(key, use.at);
    return true;
}

bool visit_filter::make_room(instant now)
{
    if (now < this->next_sweep)
    {
        return false;
    }
    this->next_sweep = now + sweep_interval;
    std::erase_if(
        this->told,
        [now](const auto& item)
        {
            return now - item.second >= tell_interval;
        });
    return this->told.size() < most_known;
}

} // namespace roseworks::detail
