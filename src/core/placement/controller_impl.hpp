#pragma once

#include "core/placement/activity.hpp"
#include "core/placement/engine_reports.hpp"
#include "core/placement/grant_keeper.hpp"
#include "core/placement/grant_settler.hpp"
#include "core/placement/grant_watch.hpp"
#include "core/placement/idle_watch.hpp"
#include "core/placement/load_failures.hpp"
#include "core/placement/order_keeper.hpp"
#include "core/placement/placement_policy.hpp"
#include "core/placement/preloader.hpp"
#include "core/placement/proposer.hpp"
#include "core/placement/visit_filter.hpp"
#include "core/recovery/checkpoint_writer.hpp"
#include "core/recovery/claim_keeper.hpp"
#include "core/recovery/control_context.hpp"
#include "core/recovery/group_commit.hpp"
#include "core/recovery/lease_keeper.hpp"
#include "core/recovery/vm_watch.hpp"

#include <roseworks/controller.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace roseworks
{

/// The parts, and the order in which events pass through them.
class controller::impl
{
public:
    explicit impl(options wanted);
    void start(fleet_state initial, stamp_ms wall, instant now);
    void read(
        std::span<const log_entry> entries,
        log_offset next,
        stamp_ms wall,
        instant now);
    void log_kept(log_offset first);
    void unreachable(instant now);
    void
    append_answered(std::uint64_t batch, append_outcome outcome, instant now);
    void
    order_answered(std::uint64_t order, order_outcome outcome, instant now);
    void engine_read(const engine_report& report, instant now);
    void vms_listed(std::span<const vm_entry> entries, instant now);
    void peers_changed(std::span<const session_id> hinted, instant now);
    void demanded(const servable_demand& what, instant now);
    void used(servable_id servable, instant now, std::uint32_t caller);
    void visited(const caller_visit& what, instant now);
    void claim(const claim_request& asked, instant now);
    void close_claim(claim_close what, instant now);
    void crash_seen(fingerprint request, engine_id engine, instant now);
    void leave(instant now);
    void tick(stamp_ms wall, instant now);
    std::vector<control_command> take_commands();
    bool may_send(const engine_order& order, instant now) const;
    bool may_send_granted(const engine_order& order, instant now) const;
    instant next_tick() const;
    const fleet_state& folded_state() const;
    bool available(instant now) const;
    bool joined() const;
    session_id session() const;

private:
    void set_wall(stamp_ms wall, instant now);
    stamp_ms wall(instant now) const;
    detail::control_context context(instant now);
    void fold(const log_entry& entry, instant now);

    /// Like `context`, without looking at all sessions for every record.
    detail::control_context fold_context(instant now);
    /// @return Engines on which something moves or shall.
    std::set<engine_id> urgent_engines(instant now) const;

    void note_change(const state_change& change, instant now);
    void note_leave(const detail::fold_event& event);
    void tell_proposer(const servable_use& use, instant now);
    void wake(instant now);
    void step(instant now);
    void step_leaving(const detail::control_context& seen);
    void finish(bool clean);
    void flush(instant now);

    options settings;
    detail::placement_policy policy;
    detail::preloader preloads;
    detail::visit_filter visits;
    fleet_state state;
    detail::group_commit commit;
    detail::lease_keeper leases;
    detail::vm_watch vms;
    detail::claim_keeper claims;
    detail::checkpoint_writer checkpoints;
    detail::engine_reports reports;
    detail::activity uses;
    detail::load_failures streaks;
    detail::order_keeper orders;
    detail::grant_settler grants;
    detail::proposer proposals;
    detail::grant_keeper keeper;
    detail::grant_watch watch;
    detail::idle_watch idle;

    std::vector<control_command> out;
    std::vector<session_id> alive;
    log_offset known_end;
    stamp_ms wall_then = 0;
    instant wall_read{};
    instant last_read{};
    instant next_step{};
    bool reachable = false;
    bool table_changed = false;
    bool sessions_changed = true;
    bool finished = false;
    std::optional<instant> leaving_since;
    std::optional<std::uint64_t> pending_leave;
};

} // namespace roseworks
