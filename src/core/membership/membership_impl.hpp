#pragma once

#include "core/membership/update_queue.hpp"

#include <roseworks/membership.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace roseworks
{

/** The implementation of `membership`, a SWIM-style failure detector.

    membership_gossip.cpp holds the list of members and the exchange of updates,
    membership_probes.cpp the probes and their timers. Advisory: nothing is
    decided by it.
*/
class membership::impl
{
public:
    explicit impl(options settings)
        : settings(settings)
        , random(settings.seed)
    {
    }

    void
    members_changed(session_id own, std::span<const member> list, instant now);
    void received(const peer_message& message, instant now);
    void tick(instant now);
    void send_demand(session_id to, const servable_demand& what);
    void send_visit(session_id to, const caller_visit& what);
    std::vector<session_id> alive() const;
    std::optional<liveness> state_of(session_id session) const;
    instant next_tick() const;

    std::vector<outgoing> datagrams;
    std::vector<servable_demand> demands;
    std::vector<caller_visit> visits;
    bool changed = false;

private:
    struct peer
    {
        std::string address;
        std::uint32_t incarnation = 0;
        liveness state = liveness::alive;
        instant suspected;
    };

    /// A probe of this router that awaits its acknowledgement.
    struct outstanding
    {
        std::uint64_t sequence = 0;
        session_id target;
        instant sent;
        bool indirect_sent = false;
    };

    /// A probe that was sent on behalf of another router.
    struct relayed_probe
    {
        std::uint64_t own_sequence = 0;
        std::uint64_t requester_sequence = 0;
        session_id requester;
        session_id target;
        instant sent;
    };

    using peer_map = std::map<session_id, peer>;

    void send(session_id to, const decltype(peer_message::body)& body);
    void set_state(session_id session, peer& record, liveness state);
    void merge(const member_update& update, instant now);
    void merge_own(const member_update& update);
    void suspect(session_id session, peer& record, instant now);
    void mark_answered(session_id session);
    void answer(const probe& body, session_id from);
    void relay(const indirect_probe& body, session_id from, instant now);
    void acknowledged(const probe_ack& body);
    void send_indirect_probes(outstanding& pending);
    void probe_failed(session_id target, instant now);
    void check_outstanding(instant now);
    void check_suspects(instant now);
    void probe_next(instant now);
    session_id next_target();
    void shuffle_probe_round();
    duration scaled_timeout(duration base) const;

    options settings;
    std::mt19937_64 random;
    session_id own;
    std::uint32_t own_incarnation = 0;
    std::uint32_t local_failures = 0;
    peer_map peers;
    std::vector<session_id> probe_round;
    detail::update_queue update_backlog;
    std::vector<outstanding> outstanding_probes;
    std::vector<relayed_probe> relayed_probes;
    std::uint64_t sequence = 0;
    instant next_probe{};
};

} // namespace roseworks
