#pragma once

#include "core/placement/preload_source.hpp"
#include "core/trace/trace.hpp"

#include <roseworks/placement_strategy.hpp>

#include <cstdint>
#include <vector>

namespace roseworks::bench
{

/// When each servable of a trace is used next; an adapter's use is its base's.
class future_uses
{
public:
    explicit future_uses(const trace& source);

    /// @return The first use after an instant; `instant::max()` for none.
    instant next(servable_id servable, instant after) const;

private:
    std::vector<std::vector<instant>> by_servable;
};

/** A rule that knows the future: unloads at once what is not used again within
    the bridging time, and keeps the rest until its next use. With
    `clairvoyant_preload` a bound for every strategy of this interface.
*/
class clairvoyant_hold final : public placement_strategy
{
public:
    /// @param bridged Longest gap over which a replica is held.
    clairvoyant_hold(const future_uses& future, duration bridged);

    void used(servable_id id, instant now) override;
    duration
    hold(const servable_view& what, const policy_spec& policy) const override;
    double eviction_value(
        const servable_view& what,
        duration idle,
        const policy_spec& policy) const override;

private:
    const future_uses& future;
    duration bridged;
    instant now{}; ///< of the last use of anything
};

/// Expects every next use, in time for a load from remote.
class clairvoyant_preload final : public preload_source
{
public:
    explicit clairvoyant_preload(const future_uses& future);

    void
    used(const servable_use& use, std::vector<expected_use>& expected) override;

private:
    const future_uses& future;
};

} // namespace roseworks::bench
