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
/// append whose answer was lost is sent again under the same id.
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
    /// Encoded spec of a schema newer than this program's; carried on as is.
    std::vector<std::byte> unread;
};

/// Operators' changes, accepted all together or not at all.
struct config_change
{
    std::string author; ///< operator's name, for the trail
    std::string note;
    std::vector<entity_change> changes;
    /// By an operators' key (see operator_key.hpp); empty when not signed.
    std::vector<std::byte> signature;
};

/// A router process starts. Ends the sessions of older incarnations of the
/// same author: one address can be bound by one process only.
struct router_join
{
    std::string name;
    std::string data_centre;
    std::string peer_address; ///< UDP ip:port
    std::string http_address;
};

/// A router stops cleanly: no order of it is in flight; its leases are free.
struct router_leave
{
    session_id session;
};

/// Proof that a router's process is gone: its VM left the platform's list,
/// or an operator said so.
struct router_gone
{
    session_id session;
    std::string evidence;
    std::vector<std::byte> signature; ///< an operator's; routers don't sign
};

/// Renews every lease of a session with one record.
struct session_renew
{
    session_id session;
};

/// Takes an engine's lease. `previous` and `previous_renewal` name what the
/// taker saw lapse; the fold rejects the record when the holder renewed since.
struct lease_acquire
{
    engine_id engine;
    session_id session;
    session_id previous; ///< 0: nobody held it
    log_offset previous_renewal;
};

/// No order of the session to the engine is in flight, nor will be under the
/// lease that it had. Gives the lease back when the session holds it; from a
/// former holder it is the proof that frees memory waits for.
struct lease_release
{
    engine_id engine;
    session_id session;
};

/// A replica shall be loaded on an engine. Valid while the revisions named
/// are still current, the servable has fewer replicas than its maximum and
/// the engine has memory for it, counting all that isn't proven gone.
struct replica_decide
{
    servable_id servable;
    revision servable_revision;
    engine_id engine;
    revision engine_revision;
    replica_id base;    ///< adapters: the base's replica there
    session_id session; ///< proposer
    priority urgency = priority::normal;
};

/// Life cycle of a replica.
enum class replica_state : std::uint8_t
{
    decided, ///< waits for a weight-store slot
    loading, ///< holds a slot; the lease holder orders the load
    ready,
    draining,  ///< no new requests; those running end
    unloading, ///< the lease holder orders the unload
    failed,    ///< the load failed; memory is held until proven gone
    gone       ///< proven gone; memory is free
};

/// The engine's lease holder (or, for `draining`, any router) moves a replica
/// on. Rejected when the transition isn't legal or the fence isn't current.
struct replica_report
{
    replica_id replica;
    replica_state to = replica_state::ready;
    fence held; ///< 0 for `draining`
    session_id session;
    std::string cause; ///< short, for the trail
};

/// 128-bit hash of caller and idempotency key.
struct claim_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// Short fingerprint of what a claimed call asks for: method, path and body.
/// 0: not known, as in records of programs that wrote none.
using claim_content = std::uint32_t;

/// Claims a key before a non-repeatable request is sent. The first wins.
struct claim_open
{
    claim_key key;
    session_id session;
    claim_content content = 0; ///< 0: not known
    stamp_ms issued = 0; ///< caller's clock when it made the key; 0: untold
};

/// What became of a claimed request.
enum class claim_outcome : std::uint8_t
{
    open, ///< unknown: may be running
    answered,
    may_have_run,
    not_run ///< certain: the key may be claimed anew
};

/// Closes a claim. Only the session that opened it may.
struct claim_close
{
    claim_key key;
    session_id session;
    claim_outcome outcome = claim_outcome::answered;
    std::uint16_t status = 0; ///< HTTP status of the answer
    std::string body;         ///< the answer, when small enough
};

/// A backend server died while it ran the request with this fingerprint.
struct request_suspect
{
    fingerprint request;
    engine_id engine; ///< 0: a plain service
    session_id session;
};

/// An operator lets a blocked request through again.
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

/** Opens, resizes or closes the standing grant of an engine: what the holder of
    its lease may load alone while the log is away.

    The memory is reserved on the engine and the loads are taken from the weight
    store's slots, used or not. Only models named by a `grant_model` may be
    loaded under it. It renews the session: until the grant is closed, a taker
    of the lease waits `term_ms` where it would wait a lease's term, so the
    holder may use the grant for that long, less the margin, after it handed
    out its last renewal. A holder that shortens the term, the memory or the
    loads keeps to the smaller ones from before it hands out the record.
*/
struct grant_open
{
    engine_id engine;
    session_id session;
    fence held;
    std::uint32_t memory_mib = 0; ///< 0, and no loads: close it
    std::uint16_t loads = 0;      ///< weight-store loads at once
    std::uint32_t term_ms = 0;
};

/// Adds a model to the standing grant of an engine. Its replica is counted as
/// if it were loaded there; the record's offset is the replica's id, whoever
/// has it loaded.
struct grant_model
{
    servable_id servable;
    revision servable_revision;
    engine_id engine;
    session_id session;
    fence held;
};

/// The lease holder says what became of a granted model: its load was ordered,
/// and it is a replica from now on, with memory of the grant; or it isn't on
/// the engine, no order to load it is in flight, and none will be.
struct grant_settle
{
    replica_id replica;
    session_id session;
    fence held;
    bool used = false;
};

/// Accepts or retires a key that signs operators' records. The first key signs
/// itself; any later change is signed by an accepted key, and a key is retired
/// by another one, so that there is always one left that works.
struct operator_key_change
{
    std::string author; ///< operator's name, for the trail
    std::uint8_t number = 0;
    std::vector<std::byte> key; ///< the public key; empty: retire the number
    std::vector<std::byte> signature; ///< as in `config_change`
};

/// A record of a kind newer than this program: carried and reported.
struct unknown_record
{
    std::uint8_t kind = 0;
    std::vector<std::byte> data;
};

/// Content of a record. The order of alternatives is the wire's kind number:
/// append only.
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
