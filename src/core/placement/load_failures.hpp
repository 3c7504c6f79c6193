#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <map>

namespace roseworks::detail
{

/** Loads of each servable that failed in a row, and how that slows the next.

    The first failure slows nothing: the load may do well elsewhere. From the
    second on the next decision waits 5 s, doubled each time up to 5 min. Each
    failure also doubles what the next load is given, up to 16 times, so that a
    slow weight store isn't asked for the same weights over and over. A load
    that ends well, or a change of the servable, starts anew.

    A hint: a router that starts from a checkpoint doesn't know what failed
    before it.
*/
class load_failures
{
public:
    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// @return When the servable may be loaded again.
    instant not_before(servable_id servable) const;

    /// @return How many times longer than usual its next load may take.
    int patience(servable_id servable) const;

private:
    struct streak
    {
        unsigned length = 0;
        instant last{};
    };

    void moved(const control_context& context, const state_change& change);

    std::map<servable_id, streak> streaks;
};

} // namespace roseworks::detail
