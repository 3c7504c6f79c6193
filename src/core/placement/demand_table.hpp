#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace roseworks::detail
{

/** The servables that requests wait for, at this router and, as they reported,
    at the others. An entry that isn't reported again expires.
*/
class demand_table
{
public:
    /// The requests that wait for one servable, over all routers.
    struct total
    {
        std::uint32_t waiting = 0;
        priority urgency = priority::batch; ///< of the most urgent request
    };

    /// Replaces what one router reported for the servable.
    void update(const servable_demand& reported, instant now);

    /// Drops entries that are older than the given age.
    void expire(instant now, duration max_age);

    bool contains(servable_id servable) const;

    total total_of(servable_id servable) const;

    /// @return What this router itself reported for the servable.
    std::optional<servable_demand> own_demand(servable_id servable) const;

    /// @return What this router itself reported, for all servables.
    std::vector<servable_demand> own_demands() const;

    /// @return The servables that requests wait for.
    std::set<servable_id> servables() const;

private:
    struct entry
    {
        std::uint32_t waiting = 0;
        priority urgency = priority::normal;
        instant reported_at{};
    };

    /// The session of this router's own entries.
    static constexpr session_id own_session{};

    std::map<servable_id, std::map<session_id, entry>> entries;
};

} // namespace roseworks::detail
