#pragma once

#include "core/placement/preload_source.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <memory>
#include <vector>

namespace roseworks::detail
{

/// A replica loaded ahead is kept so long for its first use, by routers that
/// didn't foresee it, too: the longest window of an expected use and its load.
inline constexpr duration preload_life = std::chrono::seconds(330);

/** Uses that are expected from what callers did at this router.

    A hint, and this router's own: a caller who comes through several routers
    is known to each from the visits that it saw there. Who loads ahead is left
    to the proposers' order, so that two routers with the same expectation load
    once.
*/
class preloader
{
public:
    /// Go by the strategy in force; what was learned is dropped with it.
    void follow(placement_kind kind);

    /// A caller used a servable.
    void used(const servable_use& use);

    /** Expected uses for which a replica should be there or on its way.

        @param state The fleet.
        @param now   The time.
        @return      Those that nobody has seen to yet, most pressing first.
    */
    std::vector<expected_use> due(const fleet_state& state, instant now);

    /// @return From when on a replica for the use should be on its way.
    static instant due_since(const fleet_state& state, const expected_use& use);

    /// A replica of the servable is there or was decided: its expected uses
    /// that are due are seen to. Each leads to one load at most.
    void settle(const fleet_state& state, servable_id id, instant now);

    /// @return Whether a use is expected about now.
    bool expected(const fleet_state& state, servable_id id, instant now) const;

private:
    struct expectation
    {
        expected_use use;
        bool settled = false;
    };

    static bool
    is_due(const fleet_state& state, const expected_use& use, instant now);

    placement_kind kind = placement_kind::unset;
    std::unique_ptr<preload_source> source;
    std::vector<expectation> expectations; ///< by `earliest`
};

} // namespace roseworks::detail
