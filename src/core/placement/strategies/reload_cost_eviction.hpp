#pragma once

#include <roseworks/placement_strategy.hpp>

#include <memory>

namespace roseworks::detail
{

/** Another strategy's hold times, with eviction by what a reload costs: first
    goes what has been idle long, frees much memory and is loaded soon.
*/
class reload_cost_eviction final : public placement_strategy
{
public:
    explicit reload_cost_eviction(std::unique_ptr<placement_strategy> holds);

    void used(servable_id id, instant now) override;
    duration
    hold(const servable_view& what, const policy_spec& policy) const override;
    double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const override;

private:
    std::unique_ptr<placement_strategy> holds;
};

} // namespace roseworks::detail
