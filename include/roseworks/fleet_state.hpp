#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/operator_key.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// What the fold made of a record.
enum class fold_status : std::uint8_t
{
    accepted,
    rejected,  ///< lost against an earlier record, or invalid
    duplicate, ///< a record with this id was folded before
    unknown    ///< newer schema or kind: carried, without effect
};

/// Why a record was rejected.
enum class reject_reason : std::uint8_t
{
    none,
    revision_moved, ///< an earlier change won; see `winner`
    unknown_entity,
    invalid_spec,
    unsigned_change, ///< an operators' key is accepted; this has no signature
    replicas_at_maximum,
    engine_memory,
    engine_unusable, ///< draining, leaving or of an unread schema
    base_not_ready,
    illegal_transition,
    fence_not_current,
    session_ended,
    lease_held,
    lease_renewed,   ///< the holder renewed after the taker looked
    not_proven_gone, ///< an old holder's order may still arrive
    claim_held,
    not_holder,
    entity_in_use,
    claim_expired,
    store_slots,     ///< too few weight-store slots are left for a grant
    wrong_signature, ///< by no accepted key, or of another content
    replayed_change  ///< a signed record again, or too old to tell
};

/// @return The word used in logs and the audit trail.
std::string_view to_string(reject_reason reason);

/// Result of folding one record.
struct fold_result
{
    fold_status status = fold_status::accepted;
    reject_reason reason = reject_reason::none;
    log_offset winner;  ///< the change that won, when known
    std::string detail; ///< names the entity, for operators
};

/// One effect of a record, in the order in which it took place.
struct state_change
{
    enum class kind : std::uint8_t
    {
        entity_put,
        entity_removed,
        session_started,
        session_ended,
        session_renewed,
        lease_taken,
        lease_freed,
        replica_moved,
        claim_opened,
        claim_closed,
        request_suspected,
        request_blocked,
        request_unblocked
    };

    kind what = kind::entity_put;
    log_offset offset;
    entity_kind entity = entity_kind::model; ///< for entity_* changes
    std::uint32_t entity_id = 0;             ///< interned id within its kind
    session_id session;
    engine_id engine;
    replica_id replica;
    replica_state from = replica_state::decided;
    replica_state to = replica_state::decided;
    claim_key key;
    fingerprint request;
};

/// A model or adapter as it stands.
struct servable_view
{
    servable_id id;
    std::string_view name;
    revision current;
    bool is_adapter = false;
    bool readable = true; ///< false: schema newer than ours
    servable_id base;     ///< adapters only
    std::string_view version;
    std::uint32_t memory_mib = 0;
    std::uint16_t min_replicas = 0;
    std::uint16_t max_replicas = 0;
    std::uint16_t accelerators = 0; ///< 0 for adapters
    std::uint16_t max_streams = 0;  ///< adapters: their base's
    std::uint32_t load_estimate_ms = 0;
};

/// An engine as it stands.
struct engine_view
{
    engine_id id;
    std::string_view name;
    revision current;
    const engine_spec* spec = nullptr;
    bool readable = true;
    std::uint32_t reserved_mib = 0; ///< everything not proven gone
    session_id holder;              ///< lease holder, 0 when free
    fence held;                     ///< fencing number of its lease
};

/// A replica that isn't gone.
struct replica_view
{
    replica_id id;
    servable_id servable;
    engine_id engine;
    replica_id base;
    replica_state state = replica_state::decided;
    priority urgency = priority::normal;
    std::uint32_t memory_mib = 0;
    revision servable_revision;   ///< it was decided for this revision
    bool holds_slot = false;      ///< a weight-store slot
    stamp_ms slot_not_before = 0; ///< log time at which it may be ordered
    log_offset last_change;
};

/// What the holder of an engine's lease may load alone while the log is away.
struct standing_grant_view
{
    engine_id engine;
    fence held;                   ///< of the lease under which it was opened
    std::uint32_t memory_mib = 0; ///< reserved, and not settled as a replica
    std::uint16_t loads = 0;      ///< weight-store slots that it keeps
    std::uint32_t term_ms = 0;    ///< a taker of the lease waits so long
};

/// A model of a standing grant, counted as a replica that isn't gone.
struct granted_model_view
{
    replica_id id; ///< its replica's, when it is loaded
    servable_id servable;
    engine_id engine;
    fence held; ///< of the lease under which it was granted
    std::uint32_t memory_mib = 0;
    revision servable_revision;
};

/// A router's process.
struct session_view
{
    session_id id;
    author_id author;
    std::uint64_t incarnation = 0;
    std::string_view name;
    std::string_view data_centre;
    std::string_view peer_address;
    std::string_view http_address;
    log_offset last_renewal; ///< join, renewal or acquired lease
    bool ended = false;      ///< left, replaced or proven gone: it's dead
};

/// A key that signs operators' records. Its number is never used again.
struct operator_key_view
{
    operator_key key;
    bool retired = false;
    log_offset since; ///< added, or retired, by this record
};

/// A claim on an idempotency key. Session and opening are known while it is
/// open, else 0.
struct claim_view
{
    claim_key key;
    session_id session;
    claim_outcome outcome = claim_outcome::open;
    log_offset opened;
    std::uint16_t status = 0;
    claim_content content = 0; ///< 0: not known
    std::string_view body;
};

/// What stands at the head of a snapshot.
struct snapshot_header
{
    std::uint16_t format = 0;
    log_offset folded;
    std::uint64_t hash = 0; ///< of the content as its author wrote it
};

/** Read the head of a snapshot, whole or cut short.

    @param bytes The snapshot's first bytes.
    @return      Empty when they are too few or not a snapshot's.
*/
std::optional<snapshot_header>
read_snapshot_header(std::span<std::byte const> bytes);

/// @return Whether this program writes snapshots in the same format. The
///         hashes of two formats can't be compared.
bool is_newest_format(const snapshot_header& about);

/** The decided state of the fleet: a deterministic fold over the log.

    Every router folds the same records and holds the same state. This is the
    only place where a decision becomes valid; whatever else routers exchange
    are hints. First valid record wins: a record that names a revision, lease or
    claim which has moved since is rejected, identically everywhere.

    Guarantees, for any sequence of records:
    - a servable has never more replicas that aren't gone than its maximum at
      the time each was decided, models of standing grants among them;
    - the memory reserved on an engine, its standing grant's included, never
      exceeds its capacity by a decision;
    - what a standing grant reserves is freed only by a holder of the engine's
      lease: the one that opened it, or a later one once no order of a former
      holder can be in flight;
    - memory is freed only when a replica is proven gone: its lease holder said
      so, and no former holder may still have an order in flight to an engine
      that ignores fencing numbers. A former holder counts until its process is
      proven gone, it says by a `lease_release` that none of its orders to the
      engine is in flight, or it takes the lease again;
    - at most the policy's number of weight-store slots is held by loads and
      kept by standing grants;
    - an accepted change of configuration is only replaced by one that names it;
    - from the first accepted operators' key on, an operator's record counts
   only once and when an accepted key signed it. Which keys are accepted is
   decided by such records, never by settings;
    - a claim has one winner.

    Decided state. Not thread-safe: owned by the control thread.
*/
class fleet_state
{
public:
    fleet_state();
    ~fleet_state();
    fleet_state(fleet_state&&) noexcept;
    fleet_state& operator=(fleet_state&&) noexcept;

    /** Fold the next record.

        @param offset Its offset; must be above `folded()`.
        @param value  The record.
        @return       What became of it. Effects are left in `changes()`.
    */
    fold_result apply(log_offset offset, const record& value);

    /** Note an entry that can't be decoded: folded as without effect.

        @param offset Its offset; must be above `folded()`.
    */
    void skip(log_offset offset);

    /// Effects of the last `apply`, in order.
    std::span<const state_change> changes() const;

    /// Offset of the last record folded.
    log_offset folded() const;

    /// Highest stamp folded: the log's own time, in ms. Never goes back, and
    /// no record after the first moves it by more than an hour.
    stamp_ms log_time() const;

    /// Hash of the whole state (xxHash64 over its snapshot, but for the
    /// offset); equal on every router that has folded the same offset. Chunks
    /// of checkpoints and skipped entries don't change it.
    std::uint64_t hash() const;

    /// The whole state as bytes, equal for equal states.
    std::vector<std::byte> snapshot() const;

    /** Rebuild a state from a snapshot.

        @param bytes What `snapshot` gave; may be damaged.
        @return      The state, or a `codec_error`.
    */
    static boost::leaf::result<fleet_state>
    restore(std::span<std::byte const> bytes);

    // Entities.
    servable_id find_servable(std::string_view name) const;
    engine_id find_engine(std::string_view name) const;
    service_id find_service(std::string_view name) const;
    caller_id find_caller(std::string_view name) const;
    std::optional<servable_view> servable(servable_id id) const;
    /// @return Keeps the names of servables valid, also without the state.
    std::shared_ptr<const void> names_owner() const;
    std::optional<engine_view> engine(engine_id id) const;
    const service_spec* service(service_id id) const;
    const caller_spec* caller(caller_id id) const;
    std::string_view service_name(service_id id) const;
    std::string_view caller_name(caller_id id) const;
    const policy_spec& policy() const;
    /// @return The entity's revision, 0 when it doesn't exist.
    revision entity_revision(entity_kind kind, std::string_view name) const;
    /// @return The entity's spec; empty when absent or of an unread schema.
    std::optional<entity_spec>
    entity(entity_kind kind, std::string_view name) const;
    void for_each_servable(
        const std::function<void(const servable_view&)>& visit) const;
    void
    for_each_engine(const std::function<void(const engine_view&)>& visit) const;
    void for_each_service(
        const std::function<void(service_id, std::string_view)>& visit) const;
    void for_each_caller(
        const std::function<void(caller_id, std::string_view)>& visit) const;

    // Replicas.
    std::optional<replica_view> replica(replica_id id) const;
    void for_each_replica(
        const std::function<void(const replica_view&)>& visit) const;
    void for_each_replica_of(
        servable_id id,
        const std::function<void(const replica_view&)>& visit) const;
    void for_each_replica_on(
        engine_id id,
        const std::function<void(const replica_view&)>& visit) const;
    /// @return Whether a former lease holder that isn't proven gone may still
    ///         have an order in flight to this engine (one that ignores
    ///         fencing).
    bool order_may_be_in_flight(engine_id id) const;
    /// @return Whether the session held the engine's lease, lost it to another
    ///         and hasn't said since that none of its orders is in flight.
    bool former_holder(engine_id id, session_id session) const;

    // Standing grants.
    std::optional<standing_grant_view> standing_grant(engine_id id) const;
    std::optional<granted_model_view> granted_model(replica_id id) const;
    void for_each_granted_model(
        const std::function<void(const granted_model_view&)>& visit) const;

    // Sessions.
    std::optional<session_view> session(session_id id) const;
    /// @return The newest session of an author that hasn't ended.
    session_id live_session(author_id author) const;
    void for_each_session(
        const std::function<void(const session_view&)>& visit) const;

    /// Every key that was ever accepted, by number.
    void for_each_operator_key(
        const std::function<void(const operator_key_view&)>& visit) const;

    // Claims and blocked requests.
    std::optional<claim_view> claim(claim_key key) const;
    /// @return Whether the request is blocked at the log's own time.
    bool blocked(fingerprint request) const;
    /// @return Crashes seen for the request; 0 when it isn't suspect.
    std::uint32_t suspicion(fingerprint request) const;
    /// Every suspect or blocked request, in order of fingerprint.
    void for_each_suspect(const std::function<void(fingerprint)>& visit) const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
