#pragma once

#include "core/placement/gap_histogram.hpp"
#include "core/placement/recent_servables.hpp"

#include <roseworks/placement_strategy.hpp>

namespace roseworks::detail
{

/** Holds a replica as long as would have cost least over its past gaps.

    The cost of a gap is the time held idle, and one break-even time where the
    replica was gone when its use came. Few past gaps are filled up with those
    of all servables; so are those of a servable that wasn't used for longer
    than 16,384 others. The break-even time grows with the load time and falls
    with the policy's `idle_weight`.
*/
class gap_cost final : public placement_strategy
{
public:
    /// @param reference Break-even time of a servable that loads in 10 s, at
    ///                  equal weights.
    explicit gap_cost(duration reference);

    void used(servable_id id, instant now) override;
    duration
    hold(const servable_view& what, const policy_spec& policy) const override;
    double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const override;

private:
    duration reference;
    recent_servables<small_gap_histogram> past;
    gap_histogram all;
};

} // namespace roseworks::detail
