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

/// A batch of records for one append. `batch` identifies it in
/// `append_answered`.
struct append_batch
{
    std::uint64_t batch = 0;
    std::vector<std::vector<std::byte>> entries;
};

/// Outcome of an append.
enum class append_outcome : std::uint8_t
{
    done,
    refused, ///< rejected by the log: nothing was appended
    unknown  ///< no answer: may have been appended; retried
};

/// What an order asks an engine to do.
enum class order_action : std::uint8_t
{
    load,
    unload
};

/// An order to an engine to load or unload a replica.
struct engine_order
{
    std::uint64_t order = 0; ///< identifies the order in `order_answered`
    std::string order_id;    ///< idempotency key on the engine
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
    /// Bounded by a standing grant's term, not by the lease's.
    bool granted = false;
};

/// Outcome of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    stale_fence,
    out_of_memory,
    not_found, ///< the replica to unload isn't on the engine
    refused,   ///< refused for another reason: nothing was done
    not_sent,  ///< no byte was sent
    unknown    ///< no answer: the engine's state must be read
};

/// Asks for a read of an engine's state.
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
    std::uint32_t running = 0; ///< requests in progress
    std::uint64_t served = 0;  ///< requests started since it was loaded
    std::string version;       ///< empty: not reported
};

/// An engine's report of its own state. A hint: it may be out of date.
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

/// One VM of the platform's VM list. A hint: it may be out of date.
struct vm_entry
{
    std::string vm;
    std::string address;
    std::string data_centre;
    bool is_router = false;
    bool leaving = false;
};

/// Demand for a servable, of this router or received from another over UDP.
struct servable_demand
{
    servable_id servable;
    priority urgency = priority::normal;
    std::uint32_t waiting = 0;
    session_id from; ///< 0: this router
};

/// Sends this router's demand to the proposer of the servable.
struct forward_demand
{
    session_id to;
    std::string peer_address;
    servable_demand what;
};

/// Request of a call to claim its idempotency key.
struct claim_request
{
    claim_key key;
    claim_content content = 0;
    stamp_ms issued = 0; ///< caller's clock when it created the key; 0: unknown
};

/// A caller's use of a servable, reported to another router.
struct caller_visit
{
    servable_id servable;
    std::uint32_t caller = 0; ///< as passed to `controller::used`
};

/// Reports a caller's use of a servable to the proposer of the servable.
struct forward_visit
{
    session_id to;
    std::string peer_address;
    caller_visit what;
};

/// Result of a claim that this router requested.
struct claim_result
{
    claim_key key;
    enum class status : std::uint8_t
    {
        granted,
        held,       ///< another call holds the key
        expired,    ///< the key may be older than the retained claims
        unavailable ///< the log can't be used now; nothing was claimed
    };
    status result = status::granted;
    /// Of the call that holds the key.
    claim_outcome outcome = claim_outcome::open;
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

/// The decided state changed; a new routing table has to be published.
struct publish_table
{
};

/// Leaving has ended. Either this router's leave record is folded, or the
/// attempt timed out; then the session stays open until the process is proven
/// gone.
struct left
{
    bool clean = true; ///< whether the leave record is folded
};

/// A complete checkpoint in the log differs from this router's own state. Such
/// a checkpoint is never adopted; an operator has to investigate.
struct divergence_alarm
{
    log_offset at;
    std::uint64_t own_hash = 0;
    std::uint64_t logged_hash = 0;
    author_id author; ///< author of the checkpoint
};

/// A log entry could not be decoded and was skipped. Every router skips it.
struct entry_skipped
{
    log_offset offset;
    std::size_t bytes = 0;
};

/// The models that standing grants serve or may serve now. Replaces the list of
/// the previous command.
struct grants_seen
{
    std::vector<grant_hint> hints; ///< sorted by servable, one for each
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
    std::uint32_t memory_mib = 0; ///< of one grant; 0: no grant is opened
    std::uint32_t engines = 1;    ///< number of grants in the whole deployment
    std::uint16_t loads = 1;      ///< weight-store slots reserved by a grant
    std::size_t models = 128;     ///< maximum number in one grant
    duration term = std::chrono::minutes(30);
};

/** Control logic of one router, as a deterministic state machine.

    Folds the log, keeps this router's session and engine leases, proposes
    replicas for demand, orders engines to load and unload, reconciles lost
    answers, claims idempotency keys, writes checkpoints, and stops sending
    orders when its leases expire. All effects are returned as commands.

    Lease timing: the holder measures the term from just before it returned the
    renewal as an append command, and stops sending orders `lease_margin` before
    the end. A router that takes over the lease waits for the full term plus the
    margin, measured from when it read the last renewal.
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
        /// Lifetime of a demand.
        duration demand_hold = std::chrono::seconds(2);
        duration append_retry_min = std::chrono::milliseconds(50);
        duration append_retry_max = std::chrono::seconds(5);
        duration engine_poll = std::chrono::milliseconds(500);
        duration idle_ttl = std::chrono::minutes(5);
        duration claim_timeout = std::chrono::seconds(2);
        /// The log counts as unavailable after this time.
        duration log_timeout = std::chrono::seconds(5);
        std::size_t max_batch_bytes = std::size_t(256) << 10;
        /// Records between two points at which a checkpoint may be taken.
        std::uint64_t checkpoint_records = 50'000;
        std::uint64_t seed = 1;
        /// A strategy named by the published policy takes precedence, and so
        /// does its hold time over `idle_ttl`.
        placement_kind placement = placement_kind::break_even;
        /// Maximum assumed age of an engine report on arrival.
        duration report_lag = std::chrono::seconds(1);
        /// Time that running requests get to finish on a draining replica.
        duration drain_grace = std::chrono::seconds(30);
        /// Time that each router in rendezvous order gives the one before it
        /// to propose, before it proposes itself.
        duration proposer_timeout = std::chrono::seconds(1);
        /// A replica that was used within this time is never evicted.
        duration evict_grace = std::chrono::seconds(10);
        /// Time after a lost order answer during which the replica isn't
        /// reported gone.
        duration lost_order_grace = std::chrono::seconds(5);
        /// A load that its engine accepted counts as failed after this time, or
        /// after ten times the servable's load estimate if that is longer.
        duration load_limit = std::chrono::seconds(60);
        /// Time limit of `leave`.
        duration leave_limit = std::chrono::seconds(30);
        grant_options grants;
    };

    explicit controller(options settings);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;

    /// Starts with an empty state or one restored from a checkpoint.
    void start(fleet_state state, stamp_ms wall, instant now);

    /// Entries were read. `next` is the end of the log as known at the read.
    void log_read(
        std::span<const log_entry> entries,
        log_offset next,
        stamp_ms wall,
        instant now);
    /// The first offset that the log is known to retain.
    void log_kept(log_offset first);
    /// A read of the log failed.
    void log_unreachable(instant now);
    /// An append ended, with or without an answer.
    void
    append_answered(std::uint64_t batch, append_outcome outcome, instant now);
    void
    order_answered(std::uint64_t order, order_outcome outcome, instant now);
    void engine_read(const engine_report& report, instant now);
    void vms_listed(std::span<const vm_entry> vms, instant now);
    /// Sessions that membership considers alive, including this one. A hint.
    void peers_changed(std::span<const session_id> alive, instant now);
    void demanded(const servable_demand& what, instant now);
    /** This router sent a request to a servable. A hint.

        @param servable The servable.
        @param now      Time of the request.
        @param caller   Any number that identifies the caller, used to detect
                        callers with periodic requests; 0: unknown.
    */
    void used(servable_id servable, instant now, std::uint32_t caller = 0);
    /// Another router reported a caller's use of a servable. A hint.
    void visited(const caller_visit& what, instant now);
    void claim(const claim_request& asked, instant now);
    void close_claim(claim_close what, instant now);
    void crash_seen(fingerprint request, engine_id engine, instant now);
    /// Shuts down: releases the leases, then appends the leave record.
    void leave(instant now);
    void tick(stamp_ms wall, instant now);

    /// @return The commands since the last call, in order.
    std::vector<control_command> take_commands();

    /// Has to be called immediately before an order's bytes are written.
    /// @return Whether the lease under which the order was issued is still
    ///         valid.
    bool may_send(const engine_order& order, instant now) const;

    /// @return The time at which `tick` has work next.
    instant next_tick() const;

    const fleet_state& state() const;
    /// @return Whether the log is reachable and was read within `log_timeout`.
    bool log_available(instant now) const;
    /// @return Whether this router's join record is folded.
    bool joined() const;
    session_id session() const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
