#pragma once

#include <roseworks/fleet_state.hpp>
#include <roseworks/grant_hint.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/placement_strategy.hpp>
#include <roseworks/record.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace roseworks
{

/// One entry read from the log.
struct log_entry
{
    log_offset offset;
    std::vector<std::byte> bytes;
};

/// A batch of records for one append; the number names it in the answer.
struct append_batch
{
    std::uint64_t batch = 0;
    std::vector<std::vector<std::byte>> entries;
};

/// What became of an append.
enum class append_outcome : std::uint8_t
{
    done,
    refused, ///< the log said no: nothing was appended
    unknown  ///< no answer: it may have been appended; sent again
};

/// An order to load or unload.
enum class order_action : std::uint8_t
{
    load,
    unload
};

struct engine_order
{
    std::uint64_t order = 0; ///< names it in the answer
    std::string order_id;    ///< idempotency id on the engine
    engine_id engine;
    std::string address;
    bool checks_credential = false;
    fence held;
    order_action action = order_action::load;
    replica_id replica;
    std::string servable;
    bool is_adapter = false;
    std::string version;
    std::string base;
    std::uint32_t memory_mib = 0;
    bool granted = false; ///< under a standing grant's term, not the lease's
};

/// What became of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    stale_fence,
    out_of_memory,
    not_found, ///< unload of a replica that isn't there
    refused,   ///< any other refusal: nothing was done
    not_sent,  ///< no byte left
    unknown    ///< no answer: read the engine's state
};

/// Read an engine's state.
struct read_engine
{
    engine_id engine;
    std::string address;
};

/// A replica as an engine reports it.
struct resident
{
    replica_id replica;
    replica_state state = replica_state::loading;
    std::string servable;
    std::uint32_t memory_mib = 0;
    std::uint32_t running = 0; ///< requests running on it
    std::uint64_t served = 0;  ///< requests started on it since its load
    std::string version;       ///< empty: not reported
};

/// An engine's own report. A hint: it lags.
struct engine_report
{
    engine_id engine;
    bool reachable = false;
    std::uint64_t incarnation = 0;
    std::uint32_t memory_used_mib = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<resident> residents;
    std::vector<std::string> cached_in_memory;
    std::vector<std::string> cached_on_disk;
};

/// One VM of the platform's list. A hint: it lags.
struct vm_entry
{
    std::string vm;
    std::string address;
    std::string data_centre;
    bool is_router = false;
    bool leaving = false;
};

/// A servable wanted by this router or, as heard over UDP, by another.
struct servable_demand
{
    servable_id servable;
    priority urgency = priority::normal;
    std::uint32_t waiting = 0;
    session_id from; ///< 0: this router
};

/// Send this router's demand to the proposer of the servable.
struct forward_demand
{
    session_id to;
    std::string peer_address;
    servable_demand what;
};

/// A call that wants its idempotency key.
struct claim_request
{
    claim_key key;
    claim_content content = 0;
    stamp_ms issued = 0; ///< caller's clock when it made the key; 0: untold
};

/// A caller's use of a servable at another router.
struct caller_visit
{
    servable_id servable;
    std::uint32_t caller = 0; ///< the number given to `controller::used`
};

/// Tell the proposer of the servable of a caller's visit.
struct forward_visit
{
    session_id to;
    std::string peer_address;
    caller_visit what;
};

/// Result of a claim that this router asked for.
struct claim_result
{
    claim_key key;
    enum class status : std::uint8_t
    {
        granted,
        held,       ///< another call holds the key
        expired,    ///< the key may be older than what is remembered
        unavailable ///< the log can't decide now; nothing was claimed
    };
    status result = status::granted;
    claim_outcome outcome = claim_outcome::open; ///< of the holder's call
    std::uint16_t http_status = 0;
    std::string body;
    claim_content content = 0; ///< of the call that holds the key; 0: unknown
};

/// A record was folded (for logs, metrics and tests).
struct folded_record
{
    log_offset offset;
    record value;
    fold_result result;
};

/// The decided state changed: publish a new routing table.
struct publish_table
{
};

/// This router has said it leaves and its leave record is folded; or it has
/// given up on that, and its session stays unproven until somebody proves the
/// process gone.
struct left
{
    bool clean = true; ///< whether the leave record is folded
};

/// A complete checkpoint in the log disagrees with this router's own fold.
/// Never adopted: an operator has to look.
struct divergence_alarm
{
    log_offset at;
    std::uint64_t own_hash = 0;
    std::uint64_t logged_hash = 0;
    author_id author; ///< who wrote the checkpoint
};

/// An entry of the log is no record that this program reads; it was skipped,
/// as every router skips it.
struct entry_skipped
{
    log_offset offset;
    std::size_t bytes = 0;
};

/// What standing grants serve or may serve now; replaces what was told before.
struct grants_seen
{
    std::vector<grant_hint> hints; ///< by servable, one for each
};

using control_command = std::variant<
    append_batch,
    engine_order,
    read_engine,
    forward_demand,
    forward_visit,
    claim_result,
    folded_record,
    publish_table,
    left,
    divergence_alarm,
    entry_skipped,
    grants_seen>;

/// The standing grants that this router opens on engines whose lease it holds.
struct grant_options
{
    std::uint32_t memory_mib = 0; ///< of one grant; 0: none is opened
    std::uint32_t engines = 1;    ///< grants of the whole deployment
    std::uint16_t loads = 1;      ///< weight-store slots that a grant keeps
    std::size_t models = 128;     ///< named in one grant
    duration term = std::chrono::minutes(30);
};

/** Drives one router's part in the fleet: a deterministic state machine.

    Folds the log, keeps this router's session and engine leases, proposes
    replicas for demand, orders engines to load and unload, reconciles lost
    answers, claims idempotency keys, writes checkpoints, and stops ordering
    when its leases lapse. All effects leave as commands.

    Lease arithmetic: a lease counts from just before its renewal was handed
    out as an append; orders stop `margin` before its end. A taker counts the
    full term plus margin from when it read the last renewal.
*/
class controller
{
public:
    struct options
    {
        std::string name; ///< VM name
        std::string data_centre;
        std::string peer_address;
        std::string http_address;
        std::uint64_t incarnation = 0;
        duration lease_term = std::chrono::seconds(30);
        duration lease_renew = std::chrono::seconds(10);
        duration lease_margin = std::chrono::seconds(3);
        duration demand_hold = std::chrono::seconds(2); ///< a demand's life
        duration append_retry_min = std::chrono::milliseconds(50);
        duration append_retry_max = std::chrono::seconds(5);
        duration engine_poll = std::chrono::milliseconds(500);
        duration idle_ttl = std::chrono::minutes(5);
        duration claim_timeout = std::chrono::seconds(2);
        duration log_silence = std::chrono::seconds(5); ///< then: unavailable
        std::size_t max_batch_bytes = std::size_t(256) << 10;
        /// Records between two marks at which a checkpoint may be taken.
        std::uint64_t checkpoint_records = 50'000;
        std::uint64_t seed = 1;
        /// Unless the published policy names one; so does `idle_ttl`.
        placement_kind placement = placement_kind::break_even;
        /// Engine reports may be this old when they arrive.
        duration report_lag = std::chrono::seconds(1);
        /// Running requests may go on for so long on a draining replica.
        duration drain_grace = std::chrono::seconds(30);
        /// The next router in line steps in for a silent proposer.
        duration proposer_patience = std::chrono::seconds(1);
        /// A replica used within this time is never evicted.
        duration evict_grace = std::chrono::seconds(10);
        /// After an order's answer was lost, its replica isn't reported gone.
        duration order_settle = std::chrono::seconds(5);
        /// A load taken by its engine may go on for so long, or for ten times
        /// its servable's estimate when that is longer; then it has failed.
        duration load_limit = std::chrono::seconds(60);
        /// `leave` gives up after this time.
        duration leave_limit = std::chrono::seconds(30);
        grant_options grants;
    };

    explicit controller(options settings);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;

    /// Start: with an empty state, or one restored from a checkpoint.
    void start(fleet_state state, stamp_ms wall, instant now);

    /// Entries were read; `next` is the log's end as then known.
    void log_read(
        std::span<const log_entry> entries,
        log_offset next,
        stamp_ms wall,
        instant now);
    /// The log keeps the entries from this offset on, as far as known.
    void log_kept(log_offset first);
    /// The log couldn't be read.
    void log_unreachable(instant now);
    /// An append was answered or wasn't.
    void
    append_answered(std::uint64_t batch, append_outcome outcome, instant now);
    void
    order_answered(std::uint64_t order, order_outcome outcome, instant now);
    void engine_read(const engine_report& report, instant now);
    void vms_listed(std::span<const vm_entry> vms, instant now);
    /// Sessions that membership thinks alive (this one included). A hint.
    void peers_changed(std::span<const session_id> alive, instant now);
    void demanded(const servable_demand& what, instant now);
    /** This router sent a request to a servable (a hint).

        @param servable What was used.
        @param now      When.
        @param caller   Any number that stands for the caller, by which callers
                        who come back at regular times are known; 0: unknown.
    */
    void used(servable_id servable, instant now, std::uint32_t caller = 0);
    /// Another router told of a caller's use (a hint).
    void visited(const caller_visit& what, instant now);
    void claim(const claim_request& asked, instant now);
    void close_claim(claim_close what, instant now);
    void crash_seen(fingerprint request, engine_id engine, instant now);
    /// Shut down: give leases back, then leave.
    void leave(instant now);
    void tick(stamp_ms wall, instant now);

    /// Commands since the last call, in order.
    std::vector<control_command> take_commands();

    /// Called immediately before an order's bytes are written.
    /// @return Whether the lease it was issued under still holds.
    bool may_send(const engine_order& order, instant now) const;

    /// @return When `tick` has work next.
    instant next_tick() const;

    const fleet_state& state() const;
    /// @return Whether the log was read lately.
    bool log_available(instant now) const;
    /// @return Whether this router's join is folded.
    bool joined() const;
    session_id session() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
