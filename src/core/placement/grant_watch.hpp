#pragma once

#include "core/placement/engine_reports.hpp"
#include "core/placement/proposer.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/lease_keeper.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/grant_hint.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace roseworks::detail
{

/** What every router makes of the fleet's standing grants.

    Sends this router's demand for a granted model to the holder of the engine's
    lease: while the log is away it loads the model, otherwise it frees it.
   Tells which models may be loaded while the log is away, and which of them
   their engine shows as loaded before any record says so. All hints.
*/
class grant_watch
{
public:
    grant_watch(
        const controller::options& settings,
        const lease_keeper& leases,
        const engine_reports& reports,
        const proposer& proposals);

    /// Forward demand, and tell what has changed.
    void step(const control_context& context);

    /// @return Engines on which requests of this router wait for a model.
    const std::set<engine_id>& urgent() const;

private:
    void forward(
        const control_context& context,
        const granted_model_view& model,
        const servable_demand& wanted);
    void tell(const control_context& context, std::vector<grant_hint> hints);
    std::vector<grant_hint> look(const control_context& context);
    std::map<engine_id, std::uint64_t>
    room(const control_context& context) const;
    void add_settled(
        const control_context& context, std::vector<grant_hint>& hints) const;
    bool shows_ready(engine_id engine, replica_id replica) const;

    controller::options settings;
    const lease_keeper& leases;
    const engine_reports& reports;
    const proposer& proposals;
    std::map<servable_id, instant> forwarded;
    std::vector<grant_hint> told; ///< by servable
    std::set<engine_id> urgent_engines;
};

} // namespace roseworks::detail
