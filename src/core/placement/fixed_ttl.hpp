#pragma once

#include <roseworks/placement_strategy.hpp>

namespace roseworks::detail
{

/// The baseline: one time to live for every servable; the least recently used
/// replica is evicted first.
class fixed_ttl final : public placement_strategy
{
public:
    explicit fixed_ttl(duration ttl);

    void used(servable_id id, instant now) override;
    duration
    hold(const servable_view& what, const policy_spec& policy) const override;
    double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const override;

private:
    duration ttl;
};

} // namespace roseworks::detail
