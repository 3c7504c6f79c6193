#pragma once

#include "core/placement/activity.hpp"
#include "core/placement/engine_reports.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/preloader.hpp"
#include "core/placement/proposer.hpp"
#include "core/recovery/control_context.hpp"

#include <roseworks/ids.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Drains what isn't needed on the engines that this router holds: replicas
    idle for longer than their strategy keeps them, those above the declared
    maximum, of an older version, on an engine that leaves, or of a servable
    that was removed.

    Which of a servable's replicas stay is the same for all routers (the
   oldest), so that two holders don't drain below the minimum between them.
*/
class idle_watch
{
public:
    idle_watch(
        const placement_policy& policy,
        const preloader& preloads,
        const activity& uses,
        const proposer& demand,
        const engine_reports& reports);

    /// Drain what is due.
    void step(const control_context& context, const std::set<engine_id>& held);

private:
    void step_servable(
        const control_context& context,
        const servable_view& servable,
        const std::set<engine_id>& held);
    std::string_view cause_to_drain(
        const control_context& context,
        const servable_view& servable,
        const replica_view& replica,
        std::size_t place,
        std::size_t ready) const;
    bool idle(
        const control_context& context,
        const servable_view& servable,
        const replica_view& replica) const;
    bool
    outdated(const servable_view& servable, const replica_view& replica) const;
    void drain(
        const control_context& context,
        replica_id replica,
        std::string_view cause);
    static bool
    has_adapters(const control_context& context, const replica_view& replica);

    const placement_policy& policy;
    const preloader& preloads;
    const activity& uses;
    const proposer& demand;
    const engine_reports& reports;
    std::map<replica_id, std::uint64_t> draining;
};

} // namespace roseworks::detail
