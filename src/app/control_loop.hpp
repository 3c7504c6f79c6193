#pragma once

#include "app/checkpoint_search.hpp"
#include "app/control_notices.hpp"
#include "app/crash_witness.hpp"
#include "app/idle_meter.hpp"
#include "app/outage_watch.hpp"
#include "app/record_reporter.hpp"
#include "ports/clock.hpp"
#include "ports/engine_port.hpp"
#include "ports/event_sink.hpp"
#include "ports/log_port.hpp"
#include "ports/peer_port.hpp"
#include "ports/vm_list_port.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/routing_table_builder.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks::app
{

/// What the control loop works with. All of it has to outlive the loop.
struct control_ports
{
    const clock_port& clock;
    log_port& log;
    engine_port& engines;
    vm_list_port* vms = nullptr; ///< null: no VM list is known
    peer_port& peers;
    event_sink& events;
};

/// Counts of the control loop, for metrics.
struct control_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t duplicate = 0;
    std::uint64_t unknown = 0;
    std::uint64_t appends = 0;
    std::uint64_t append_bytes = 0;
    std::uint64_t appends_lost = 0;
    std::uint64_t orders = 0;
    std::uint64_t orders_lost = 0;
    std::uint64_t granted_orders = 0; ///< under standing grants
    std::uint64_t tables = 0;
    /// Of the configuration; a state taken over whole counts as one.
    std::uint64_t config_changes = 0;
};

/** Drives the controller: feeds it what the ports bring and carries out its
    commands.

    Everything runs on the executor's single thread, so nothing here is locked.
    When the log has forgotten its start, the state comes from the newest usable
    checkpoint; when it has forgotten what this router hasn't read yet, the
    controller starts anew under a new incarnation.
*/
class control_loop final : public log_listener,
                           public vm_list_listener,
                           public peer_listener
{
public:
    control_loop(
        boost::asio::any_io_executor executor,
        controller::options settings,
        const control_ports& ports,
        control_notices notices);

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Starts all ports.
    /// @param http_address The callers' address, told to other routers.
    void start(std::string http_address);

    /// Gives leases back and leaves; ends in `control_notices::left`.
    void leave();

    /// Ends all ports at once, without a word to the log.
    void stop();

    // From the traffic threads, on the executor.
    void demanded(const demand& what);
    void crashed(const crash_seen& what);
    void used(std::string_view servable, std::string_view caller);
    /// @return Whether the claim was handed on; its result follows.
    bool claim(const claim_request& asked);
    void close_claim(claim_close what);

    // From the ports.
    void log_opened(log_offset first, log_offset next, bool trimmed) override;
    void entries_read(std::vector<log_entry> entries, log_offset next) override;
    void oldest_offset_read(log_offset first) override;
    void log_failed(log_fault fault) override;
    void append_answered(std::uint64_t batch, append_outcome outcome) override;
    void vms_listed(std::span<const vm_entry> vms) override;
    void vm_list_failed() override;
    void demand_received(const servable_demand& what) override;
    void visit_received(const caller_visit& what) override;
    void peers_alive(std::span<const session_id> alive) override;

    // What it knows, for `/state` and `/metrics`.
    /// @return The controller; null while no state is there.
    const controller* driven() const;
    bool is_caught_up() const;
    /// @return Log entries that are known to exist and aren't folded.
    std::uint64_t lag() const;
    bool log_available() const;
    const control_counts& counts() const;
    const idle_meter& idle_accelerators() const;

private:
    void begin(fleet_state state, log_offset folded);
    void begin_search(log_offset first);
    void fold(std::span<const log_entry> entries, log_offset next);
    void search(std::span<const log_entry> entries);
    void note_log_answered();
    void note_caught_up();

    void pump();
    void arm_tick();
    void arm_look();
    void watch_leases();
    void tick();
    void refresh_availability();

    void carry_out(append_batch& batch);
    void carry_out(const engine_order& order);
    void carry_out(const read_engine& what);
    void carry_out(const forward_demand& what);
    void carry_out(const forward_visit& what);
    void carry_out(const claim_result& result);
    void carry_out(const folded_record& folded);
    void carry_out(const publish_table& what);
    void carry_out(const left& what);
    void report_unfinished_handover();
    void carry_out(const divergence_alarm& alarm);
    void carry_out(const grants_seen& seen);
    void note_grant_used(const engine_order& order);
    void carry_out(const entry_skipped& entry);

    void order_answered(
        const engine_order& order, std::uint64_t run, order_outcome outcome);
    void engine_answered(
        const read_engine& what,
        const engine_report& report,
        std::uint64_t run);
    void read_cache_events(const read_engine& what, std::uint64_t incarnation);
    void cache_events_read(const cache_report& report);
    void crash_examined(const crash_seen& what, crash_finding finding);
    void report_order(const engine_order& order, order_outcome outcome);
    void note_engine(const engine_report& report);
    void tell_sessions();
    std::string engine_name(engine_id engine) const;

    boost::asio::any_io_executor executor;
    controller::options settings;
    control_ports ports;
    control_notices notices;
    record_reporter reporter;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer look_timer;
    crash_witness witness;

    std::unique_ptr<controller> core;
    std::uint64_t run = 0; ///< counts controllers; late answers name theirs
    routing_table_builder builder;
    std::optional<checkpoint_search> searching;
    log_offset search_end;
    log_offset catch_up_end;
    log_offset known_end;
    log_offset first_kept;
    bool caught_up = false;
    bool table_stale = true; ///< the builder has missed records
    bool pumping = false;
    bool leaving = false;
    bool stopped = false;
    bool published_available = false;
    bool sessions_moved = false;

    outage_watch log_outage;
    outage_watch vm_list_outage;
    std::unordered_map<engine_id, outage_watch> engine_outages;
    std::map<std::string, bool, std::less<>> vms_leaving; ///< by name
    std::unordered_map<std::uint64_t, std::size_t> batch_records;
    std::set<engine_id> leases_in_force; ///< held, and not lapsed
    control_counts counted;
    idle_meter idle;
};

} // namespace roseworks::app
