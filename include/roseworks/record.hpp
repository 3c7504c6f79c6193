#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/specs.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace roseworks
{

/// Identity of a record, chosen by its author before the first append. An
/// append without an answer is retried with the same id.
struct record_id
{
    author_id author;
    std::uint64_t incarnation = 0; ///< microseconds at the process's start
    std::uint64_t sequence = 0;

    friend auto operator<=>(const record_id&, const record_id&) = default;
};

/// One entity put or removed by an operator.
struct entity_change
{
    entity_kind kind = entity_kind::model;
    std::string name;
    revision expected; ///< 0: it must not exist
    std::uint16_t schema = newest_entity_schema;
    std::optional<entity_spec> spec; ///< empty: remove
    /// Encoded spec of a schema newer than this program's; kept unchanged.
    std::vector<std::byte> unread;
};

/// Changes by an operator, accepted all together or not at all.
struct config_change
{
    std::string author; ///< operator's name, for the audit trail
    std::string note;
    std::vector<entity_change> changes;
    /// Made with an operators' key (see operator_key.hpp); empty if unsigned.
    std::vector<std::byte> signature;
};

/// A router process started. Ends the sessions of older incarnations of the
/// same author, since only one process can bind an address.
struct router_join
{
    std::string name;
    std::string data_centre;
    std::string peer_address; ///< UDP ip:port
    std::string http_address;
};

/// A router stopped cleanly: none of its orders is in flight, and its leases
/// are free.
struct router_leave
{
    session_id session;
};

/// Proof that a router's process is gone: its VM was removed from the
/// platform's list, or an operator confirmed it.
struct router_gone
{
    session_id session;
    std::string evidence;
    std::vector<std::byte>
        signature; ///< an operator's; empty in records of routers
};

/// Renews every lease of a session with one record.
struct session_renew
{
    session_id session;
};

/// Takes an engine's lease. `previous` and `previous_renewal` identify the
/// lease that the taker saw expire. The record is rejected if the holder has
/// renewed since.
struct lease_acquire
{
    engine_id engine;
    session_id session;
    session_id previous; ///< 0: the lease was free
    log_offset previous_renewal;
};

/// States that no order of the session to the engine is in flight, and that
/// none will be sent under its lease. Releases the lease if the session holds
/// it. From a former holder, it is the proof required before memory is freed.
struct lease_release
{
    engine_id engine;
    session_id session;
};

/// Decides that a replica is loaded on an engine. Valid if the named revisions
/// are current, the servable has fewer replicas than its maximum and the engine
/// has enough memory. Everything not proven gone counts.
struct replica_decide
{
    servable_id servable;
    revision servable_revision;
    engine_id engine;
    revision engine_revision;
    replica_id base;    ///< of an adapter: the base's replica on the engine
    session_id session; ///< proposer
    priority urgency = priority::normal;
};

/// Life cycle of a replica.
enum class replica_state : std::uint8_t
{
    decided, ///< waits for a weight-store slot
    loading, ///< holds a slot; the lease holder orders the load
    ready,
    draining,  ///< no new requests; running ones finish
    unloading, ///< the lease holder orders the unload
    failed,    ///< the load failed; memory is held until proven gone
    gone       ///< proven gone; memory is free
};

/// State transition of a replica, reported by the engine's lease holder or, for
/// `draining`, by any router. Rejected if the transition is illegal or the
/// fence isn't current.
struct replica_report
{
    replica_id replica;
    replica_state to = replica_state::ready;
    fence held; ///< 0 for `draining`
    session_id session;
    std::string cause; ///< short, for the audit trail
};

/// 128-bit hash of caller and idempotency key.
struct claim_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// Short fingerprint of a claimed call's method, path and body. 0: unknown, as
/// in records of older programs.
using claim_content = std::uint32_t;

/// Claims a key before a non-repeatable request is sent. The first claim is
/// accepted.
struct claim_open
{
    claim_key key;
    session_id session;
    claim_content content = 0; ///< 0: unknown
    stamp_ms issued = 0; ///< caller's clock when it created the key; 0: unknown
};

/// Outcome of a claimed request.
enum class claim_outcome : std::uint8_t
{
    open, ///< unknown: may be running
    answered,
    may_have_run,
    not_run ///< certain: the key may be claimed again
};

/// Closes a claim. Accepted only from the session that opened it.
struct claim_close
{
    claim_key key;
    session_id session;
    claim_outcome outcome = claim_outcome::answered;
    std::uint16_t status = 0; ///< HTTP status of the answer
    std::string body;         ///< the answer, when small enough
};

/// A backend server crashed while it ran the request with this fingerprint.
struct request_suspect
{
    fingerprint request;
    engine_id engine; ///< 0: a plain service
    session_id session;
};

/// An operator unblocks a request.
struct request_unblock
{
    fingerprint request;
    std::string author;
    std::vector<std::byte> signature; ///< as in `config_change`
};

/// Part of a checkpoint of the folded state at `at`.
struct checkpoint_chunk
{
    log_offset at; ///< state after folding this offset
    std::uint64_t state_hash = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::vector<std::byte> data;
};

/** Opens, resizes or closes the standing grant of an engine. The grant defines
    what the engine's lease holder may load by itself while the log is
    unavailable.

    The memory stays reserved on the engine and the loads in the weight store's
    slots, whether they are used or not. Only models named by a `grant_model`
    may be loaded under the grant. The record renews the session.

    Until the grant is closed, a router that takes over the lease waits for
    `term_ms` instead of the lease's term. The holder may therefore use the
    grant for that time, less the margin, after it submitted its last renewal. A
    holder that reduces the term, the memory or the loads keeps to the reduced
    values before it submits the record.
*/
struct grant_open
{
    engine_id engine;
    session_id session;
    fence held;
    std::uint32_t memory_mib = 0; ///< 0 and no loads: close the grant
    std::uint16_t loads = 0;      ///< concurrent loads from the weight store
    std::uint32_t term_ms = 0;
};

/// Adds a model to the standing grant of an engine. It counts as a replica
/// loaded there. The record's offset is the replica's id, whichever router
/// orders the load.
struct grant_model
{
    servable_id servable;
    revision servable_revision;
    engine_id engine;
    session_id session;
    fence held;
};

/// The lease holder reports the outcome of a granted model. If `used`, its load
/// was ordered, and it becomes a replica with memory taken from the grant.
/// Otherwise it isn't on the engine, no order to load it is in flight, and none
/// will be sent.
struct grant_settle
{
    replica_id replica;
    session_id session;
    fence held;
    bool used = false;
};

/// Accepts or retires a key that signs operators' records. The record of the
/// first key is signed with that key, any later one with an accepted key. A key
/// can be retired only by another key, so that at least one stays accepted.
struct operator_key_change
{
    std::string author; ///< operator's name, for the audit trail
    std::uint8_t number = 0;
    std::vector<std::byte> key;       ///< the public key; empty: retire the key
    std::vector<std::byte> signature; ///< as in `config_change`
};

/// A record of a kind newer than this program: kept and reported.
struct unknown_record
{
    std::uint8_t kind = 0;
    std::vector<std::byte> data;
};

/// Content of a record. The index of an alternative is its kind number in the
/// encoding, so new ones may only be appended.
using record_payload = std::variant<
    unknown_record,
    config_change,
    router_join,
    router_leave,
    router_gone,
    session_renew,
    lease_acquire,
    lease_release,
    replica_decide,
    replica_report,
    claim_open,
    claim_close,
    request_suspect,
    request_unblock,
    checkpoint_chunk,
    grant_open,
    grant_model,
    grant_settle,
    operator_key_change>;

/// Newest schema of the envelope and record payloads.
inline constexpr std::uint16_t newest_record_schema = 1;

/// What is appended to the log.
struct record
{
    std::uint16_t schema = newest_record_schema;
    record_id id;
    stamp_ms stamp = 0; ///< author's wall clock
    record_payload payload;
};

} // namespace roseworks
