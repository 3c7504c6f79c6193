#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>

namespace roseworks::detail
{

/** When replicas were last in use, from what this router sent and from the
    engines' own reports of running and served requests. A hint.
*/
class activity
{
public:
    /// A request of this router used or wants the servable. An adapter's use
    /// is its base's, too.
    void used(const fleet_state& state, servable_id servable, instant now);

    /// An engine's report came.
    void reported(
        const fleet_state& state, const engine_report& report, instant now);

    /// A replica has become ready, or is seen for the first time.
    void appeared(replica_id replica, instant now);

    /// A replica is gone.
    void forget(replica_id replica);

    /// @return Time since the replica's last known use.
    duration idle(const replica_view& replica, instant now) const;

    /// @return Whether the replica's engine reported on it since it was ready.
    bool seen_by_engine(replica_id replica) const;

private:
    struct replica_use
    {
        instant last{};
        std::uint64_t served = 0;
        bool reported = false;
        bool running = false;
    };

    std::map<servable_id, instant> local_use;
    std::map<replica_id, replica_use> replicas;
};

} // namespace roseworks::detail
