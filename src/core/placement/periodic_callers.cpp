#include "core/placement/periodic_callers.hpp"

#include <algorithm>

namespace roseworks::detail
{

namespace
{

/// Intervals that differ by less agree, and the caller may come so much early
/// or late.
constexpr duration tolerance = std::chrono::seconds(75);
constexpr duration day = std::chrono::hours(24);
constexpr duration day_tolerance = std::chrono::minutes(5);

/// A pair not seen for so long is forgotten when room is short.
constexpr duration longest_memory = day + std::chrono::hours(2);
constexpr duration sweep_interval = std::chrono::minutes(10);

duration distance(duration one, duration other)
{
    return one > other ? one - other : other - one;
}

} // namespace

bool periodic_callers::regular(const visits& known, duration interval)
{
    return distance(interval, day) <= day_tolerance ||
           (known.interval && distance(interval, *known.interval) <= tolerance);
}

void periodic_callers::used(
    const servable_use& use, std::vector<expected_use>& expected)
{
    if (this->known_visits.size() >= most_known &&
        !this->known_visits.contains({use.caller, use.servable}) &&
        !this->make_room(use.at))
    {
        return;
    }
    const auto [place, is_new] =
        this->known_visits.try_emplace({use.caller, use.servable});
    visits& known = place->second;
    const bool begins = is_new || use.at - known.last_use > visit_pause;
    known.last_use = use.at;
    if (!begins)
    {
        return;
    }
    if (!is_new)
    {
        const duration interval = use.at - known.last_visit;
        if (regular(known, interval))
        {
            const instant next = use.at + interval;
            const duration slack = distance(interval, day) <= day_tolerance
                                       ? day_tolerance / 2
                                       : tolerance;
            expected.push_back({use.servable, next - slack, next + slack});
        }
        known.interval = interval;
    }
    known.last_visit = use.at;
}

bool periodic_callers::make_room(instant now)
{
    if (now < this->next_sweep)
    {
        return false;
    }
    this->next_sweep = now + sweep_interval;
    std::erase_if(
        this->known_visits,
        [now](const auto& item)
        {
            return now - item.second.last_use > longest_memory;
        });
    return this->known_visits.size() < most_known;
}

} // namespace roseworks::detail
