#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace roseworks::detail
{

/** Keeps this router's session and its engine leases.

    One record renews all of a session's leases. The holder counts its term from
    just before the renewal was handed out and stops ordering a margin earlier;
    a taker counts the full term plus the margin from when it read the last
    renewal; on an engine with a standing grant of the holder's, the grant's
    term when that is longer. Which router should hold an engine is a hint by
   rendezvous hashing; who does hold it is decided by the fold. A lease lost to
   another is released as well, as soon as none of its orders can be in flight
   any more: at an engine that ignores fencing numbers, memory waits for that.
*/
class lease_keeper
{
public:
    explicit lease_keeper(const controller::options& settings);

    /// Queue this process's join, and note the sessions of a restored state.
    void start(const control_context& context);

    /// A record was folded.
    void folded(const control_context& context, const fold_event& event);

    /// Sessions that membership thinks alive. A hint.
    void peers_changed(std::span<const session_id> hinted);

    /// The log can be read again: silence until now says nothing of others.
    void log_returned(instant now);

    /** Renew, take and give back leases.

        @param context What is known now.
        @param busy    Whether an order to an engine may be in flight.
    */
    void step(
        const control_context& context,
        const std::function<bool(engine_id)>& busy);

    /// Take no more leases and give those held back.
    void leave();

    /// @return Sessions thought alive, sorted, this one included unless it
    ///         leaves.
    std::vector<session_id>
    alive_sessions(const fleet_state& state, instant now) const;

    /// @return Whether the lease under this fencing number is this router's
    ///         and safe to order under.
    bool may_order(
        const fleet_state& state,
        engine_id engine,
        fence held,
        instant now) const;

    /** @return Whether a granted model may be ordered on the engine now.

        Holds under the engine's own standing grant and its lease's fencing
        number, for the grant's term, less the margin, from just before the last
        renewal that the log took was handed out. The lease's shorter term may
        be over: a taker waits for the grant's.
    */
    bool may_order_granted(
        const fleet_state& state,
        engine_id engine,
        fence held,
        instant now) const;

    /// @return Whether the engine's holder may still use its standing grant,
    ///         as far as this router knows. A hint.
    bool grant_in_force(
        const fleet_state& state, const engine_view& engine, instant now) const;

    /** @return Whether a release of the engine is on its way to the log.

        It says that no order is in flight, so none may be issued meanwhile.
    */
    bool releasing(engine_id engine) const;

    /// @return Whether any engine's lease is held.
    bool holds_any(const fleet_state& state) const;

    bool joined() const;
    session_id session() const;
    instant next_tick() const;

private:
    struct renewal_seen
    {
        log_offset renewal;
        instant read{};
    };

    struct engine_lease
    {
        std::optional<std::uint64_t>
            pending;            ///< a record about it is under way
        bool releasing = false; ///< and that record is a release
        std::optional<instant> takeable_since;
        std::optional<instant> misplaced_since;
        instant not_before{};
        duration retry{};
    };

    void note_session(const fleet_state& state, session_id id, instant now);
    void join_again(const control_context& context);
    void renew(const control_context& context);
    void step_engine(
        const control_context& context,
        const engine_view& engine,
        const std::function<bool(engine_id)>& busy);
    void consider_release(
        const control_context& context,
        const engine_view& engine,
        engine_lease& lease,
        bool engine_busy);
    void release(
        const control_context& context, engine_id engine, engine_lease& lease);
    void consider_taking(
        const control_context& context,
        const engine_view& engine,
        engine_lease& lease);
    duration term_of(const fleet_state& state, const engine_view& engine) const;
    bool takeable(
        const fleet_state& state, const engine_view& engine, instant now) const;
    bool lapsed(session_id id, duration term, instant now) const;
    bool in_force(instant now) const;

    controller::options settings;
    session_id self;
    bool superseded = false; ///< a newer process has this router's name
    bool leaving = false;
    std::optional<std::uint64_t> pending_join;
    std::optional<std::uint64_t> pending_renew;
    instant renewed{}; ///< just before the last renewal was handed out
    instant valid_until{};
    instant renew_at{};
    std::vector<session_id> hint;
    std::map<session_id, renewal_seen> renewals;
    std::map<engine_id, engine_lease> engines;
};

} // namespace roseworks::detail
