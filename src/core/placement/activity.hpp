#pragma once

#include "core/placement/recent_servables.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace roseworks::detail
{

/** When replicas were last in use, from what this router sent and from the
    engines' own reports of running and served requests. A hint.
*/
class activity
{
public:
    /// A request waits for the servable, here or at another router. An
    /// adapter's use is its base's, too.
    void wanted(const fleet_state& state, servable_id servable, instant now);

    /// A request of this router used the servable.
    void used(const fleet_state& state, servable_id servable, instant now);

    /** An engine's report came.

        @param state  The fleet.
        @param report What the engine says.
        @param now    The time.
        @return       Servables used since its last report, as far as this
                      router didn't use them itself meanwhile.
    */
    std::vector<servable_id> reported(
        const fleet_state& state, const engine_report& report, instant now);

    /// A replica has become ready, or is seen for the first time.
    void appeared(replica_id replica, instant now);

    /// A replica is gone.
    void forget(replica_id replica);

    /// @return When the servable was last wanted or used; empty when it never
    ///         was, as far as is known here.
    std::optional<instant> last_use(servable_id servable) const;

    /// @return Time since the replica's last known use.
    duration idle(const replica_view& replica, instant now) const;

    /** How long a replica had been idle as of its engine's last report. A use
        after that isn't known of yet, so this alone is no ground for keeping a
        replica, and `idle` alone is none for dropping it.

        @param replica The replica.
        @return        Time from its last known use to what the report showed.
    */
    duration reported_idle(const replica_view& replica) const;

    /// @return Whether the replica's engine reported on it since it was ready.
    bool seen_by_engine(replica_id replica) const;

    /// @return Whether the replica's engine has counted no request of it yet.
    bool unused(replica_id replica) const;

private:
    bool used_here(servable_id servable, instant since) const;

    struct replica_use
    {
        instant last{};
        instant reported_at{};
        std::uint64_t served = 0;
        bool reported = false;
        bool running = false;
    };

    /// When each was wanted or used; the value: when used by this router.
    recent_servables<instant> servables;
    std::map<replica_id, replica_use> replicas;
};

} // namespace roseworks::detail
