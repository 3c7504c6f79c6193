#pragma once

#include "core/placement/recent_servables.hpp"

#include <roseworks/placement_strategy.hpp>

#include <optional>

namespace roseworks::detail
{

/** Keeps a replica until its idle cost equals the cost of loading it again.

    The policy's `idle_weight` sets the exchange rate: at 50 a servable that
    loads in the reference time is kept for the given time to live. A moving
    average of the gaps between bursts of use corrects it: an expected return
    is waited for, and one that lies far beyond the break-even isn't.
*/
class break_even final : public placement_strategy
{
public:
    explicit break_even(duration reference_ttl);

    void used(servable_id id, instant now) override;
    duration
    hold(const servable_view& what, const policy_spec& policy) const override;
    double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const override;

private:
    double
    break_even_us(const servable_view& what, const policy_spec& policy) const;

    duration reference_ttl;
    /// Mean gap in us.
    recent_servables<std::optional<double>> past;
};

} // namespace roseworks::detail
