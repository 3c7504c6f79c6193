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

/// Outcome of folding a record.
enum class fold_status : std::uint8_t
{
    accepted,
    rejected,  ///< invalid, or conflicts with an earlier record
    duplicate, ///< a record with this id was folded before
    unknown    ///< newer schema or kind: kept, without effect
};

/// Why a record was rejected.
enum class reject_reason : std::uint8_t
{
    none,
    revision_moved, ///< an earlier change took precedence; see `winner`
    unknown_entity,
    invalid_spec,
    unsigned_change, ///< unsigned, while an operators' key is accepted
    replicas_at_maximum,
    engine_memory,
    engine_unusable, ///< draining, leaving or of a newer schema
    base_not_ready,
    illegal_transition,
    fence_not_current,
    session_ended,
    lease_held,
    lease_renewed,   ///< the holder renewed after the taker read the lease
    not_proven_gone, ///< a former holder's order may still arrive
    claim_held,
    not_holder,
    entity_in_use,
    claim_expired,
    store_slots,     ///< too few free weight-store slots for a grant
    wrong_signature, ///< not by an accepted key, or for other content
    replayed_change  ///< a signed record repeated, or too old to rule that out
};

/// @return The word used in logs and the audit trail.
std::string_view to_string(reject_reason reason);

/// Result of folding one record.
struct fold_result
{
    fold_status status = fold_status::accepted;
    reject_reason reason = reject_reason::none;
    log_offset winner;  ///< the change that took precedence, if known
    std::string detail; ///< name of the entity, for operators
};

/// One effect of a record.
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

/// Current state of a model or adapter.
struct servable_view
{
    servable_id id;
    std::string_view name;
    revision current;
    bool is_adapter = false;
    bool readable = true; ///< false: schema newer than this program's
    servable_id base;     ///< adapters only
    std::string_view version;
    std::uint32_t memory_mib = 0;
    std::uint16_t min_replicas = 0;
    std::uint16_t max_replicas = 0;
    std::uint16_t accelerators = 0; ///< 0 for adapters
    std::uint16_t max_streams = 0;  ///< of an adapter: its base's
    std::uint32_t load_estimate_ms = 0;
};

/// Current state of an engine.
struct engine_view
{
    engine_id id;
    std::string_view name;
    revision current;
    const engine_spec* spec = nullptr;
    bool readable = true;
    std::uint32_t reserved_mib = 0; ///< of all replicas not proven gone
    session_id holder;              ///< lease holder; 0 when free
    fence held;                     ///< fencing number of its lease
};

/// A replica that isn't proven gone.
struct replica_view
{
    replica_id id;
    servable_id servable;
    engine_id engine;
    replica_id base;
    replica_state state = replica_state::decided;
    priority urgency = priority::normal;
    std::uint32_t memory_mib = 0;
    revision servable_revision;   ///< revision for which it was decided
    bool holds_slot = false;      ///< whether it holds a weight-store slot
    stamp_ms slot_not_before = 0; ///< earliest log time of the load order
    log_offset last_change;
};

/// What an engine's lease holder may load by itself while the log is
/// unavailable.
struct standing_grant_view
{
    engine_id engine;
    fence held; ///< of the lease under which it was opened
    /// Reserved and not yet used by a settled replica.
    std::uint32_t memory_mib = 0;
    std::uint16_t loads = 0; ///< weight-store slots that it reserves
    /// Wait before another router may take the lease.
    std::uint32_t term_ms = 0;
};

/// A model of a standing grant. It counts as a replica that isn't gone.
struct granted_model_view
{
    replica_id id; ///< id of its replica once it is loaded
    servable_id servable;
    engine_id engine;
    fence held; ///< of the lease under which it was granted
    std::uint32_t memory_mib = 0;
    revision servable_revision;
};

/// One run of a router process.
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
    bool ended = false;      ///< left, replaced or proven gone
};

/// A key that signs operators' records. Its number is never reused.
struct operator_key_view
{
    operator_key key;
    bool retired = false;
    log_offset since; ///< record that added or retired it
};

/// A claim on an idempotency key. `session` and `opened` are 0 once it is
/// closed.
struct claim_view
{
    claim_key key;
    session_id session;
    claim_outcome outcome = claim_outcome::open;
    log_offset opened;
    std::uint16_t status = 0;
    claim_content content = 0; ///< 0: unknown
    std::string_view body;
};

/// Header of a snapshot.
struct snapshot_header
{
    std::uint16_t format = 0;
    log_offset folded;
    std::uint64_t hash = 0; ///< of the content in its author's format
};

/** Read the header of a complete or truncated snapshot.

    @param bytes The snapshot's first bytes.
    @return      The header; empty when the bytes are too few or not those of a
                 snapshot.
*/
std::optional<snapshot_header>
read_snapshot_header(std::span<std::byte const> bytes);

/// @return Whether the snapshot has the format that this program writes. The
///         hashes of two formats can't be compared.
bool is_newest_format(const snapshot_header& about);

/** The decided state of the fleet: a deterministic fold over the log.

    Every router folds the same records and has the same state. A decision is
    valid only once it is folded here; everything else that routers exchange is
    a hint. The first valid record takes precedence: a record that names an
    outdated revision, lease or claim is rejected, on every router alike.

    Guarantees, for any sequence of records:
    - A decision never raises the number of a servable's replicas that aren't
      gone above the servable's maximum at that time. Models of standing grants
      count as replicas.
    - No decision makes the memory reserved on an engine, including that of its
      standing grant, exceed the engine's capacity.
    - The resources of a standing grant are freed only by a holder of the
      engine's lease: the one that opened the grant, or a later one once no
      order of a former holder can be in flight.
    - Memory is freed only when a replica is proven gone: the lease holder
      reported it gone, and no former holder may still have an order in flight
      to an engine that ignores fencing numbers. A former holder counts until
      its process is proven gone, it states in a `lease_release` that none of
      its orders to the engine is in flight, or it takes the lease again.
    - Loads and standing grants together hold at most the policy's number of
      weight-store slots.
    - An accepted configuration change is replaced only by a change that names
      its revision.
    - Once an operators' key has been accepted, an operator's record is accepted
      only once, and only if an accepted key signed it. Such records, never
      settings, decide which keys are accepted.
    - Of several claims on a key, only the first is accepted, until it is closed
      as not run or expires.

    Not thread-safe: owned by the control thread.
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
        @return       The outcome. `changes()` returns the effects.
    */
    fold_result apply(log_offset offset, const record& value);

    /** Fold an entry that can't be decoded; it has no effect.

        @param offset Its offset; must be above `folded()`.
    */
    void skip(log_offset offset);

    /// Effects of the last `apply`, in order.
    std::span<const state_change> changes() const;

    /// Offset of the last record folded.
    log_offset folded() const;

    /// Time of the log in ms: the highest stamp folded. Never decreases, and no
    /// record after the first advances it by more than an hour.
    stamp_ms log_time() const;

    /// Hash of the whole state: xxHash64 over its snapshot without the offset.
    /// Equal on every router that has folded up to the same offset. Checkpoint
    /// chunks and skipped entries don't change it.
    std::uint64_t hash() const;

    /// The whole state as bytes; the same bytes for equal states.
    std::vector<std::byte> snapshot() const;

    /** Rebuild a state from a snapshot.

        @param bytes Result of `snapshot`; may be damaged.
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
    /// @return Owner of the servables' names. They stay valid as long as it is
    ///         held, even after the state is destroyed.
    std::shared_ptr<const void> names_owner() const;
    std::optional<engine_view> engine(engine_id id) const;
    const service_spec* service(service_id id) const;
    const caller_spec* caller(caller_id id) const;
    std::string_view service_name(service_id id) const;
    std::string_view caller_name(caller_id id) const;
    const policy_spec& policy() const;
    /// @return The entity's revision; 0 when it doesn't exist.
    revision entity_revision(entity_kind kind, std::string_view name) const;
    /// @return The entity's spec; empty when absent or of a newer schema.
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
    ///         have an order in flight to this engine. Only possible if the
    ///         engine ignores fencing numbers.
    bool order_may_be_in_flight(engine_id id) const;
    /// @return Whether the session held the engine's lease, lost it to another
    ///         and hasn't stated since that none of its orders is in flight.
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

    /// Visits every key that was ever accepted, ordered by number.
    void for_each_operator_key(
        const std::function<void(const operator_key_view&)>& visit) const;

    // Claims and blocked requests.
    std::optional<claim_view> claim(claim_key key) const;
    /// @return Whether the request is blocked at `log_time()`.
    bool blocked(fingerprint request) const;
    /// @return Number of crashes recorded for the request; 0 when it isn't
    ///         suspect.
    std::uint32_t recorded_crashes(fingerprint request) const;
    /// Visits every suspect or blocked request, ordered by fingerprint.
    void for_each_suspect(const std::function<void(fingerprint)>& visit) const;

private:
    class impl;
    std::unique_ptr<impl> self;
};

} // namespace roseworks
