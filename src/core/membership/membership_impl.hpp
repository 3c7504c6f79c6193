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

/** The state of `membership` and its events.

    Who is a member and what is said of members is in membership_gossip.cpp,
    probes and their timers in membership_probes.cpp. Hint only.
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

    std::vector<outgoing> sends;
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

    /// A probe of ours that awaits its acknowledgement.
    struct outstanding
    {
        std::uint64_t sequence = 0;
        session_id target;
        instant sent;
        bool asked_others = false;
    };

    /// A probe made on another router's behalf.
    struct relayed
    {
        std::uint64_t own_sequence = 0;
        std::uint64_t their_sequence = 0;
        session_id asker;
        session_id target;
        instant sent;
    };

    using peer_map = std::map<session_id, peer>;

    void send(session_id to, const decltype(peer_message::body)& body);
    void set_state(session_id session, peer& about, liveness state);
    void merge(const member_update& update, instant now);
    void merge_own(const member_update& update);
    void suspect(session_id session, peer& about, instant now);
    void heard_from(session_id session);
    void answer(const probe& body, session_id from);
    void relay(const indirect_probe& body, session_id from, instant now);
    void acknowledged(const probe_ack& body);
    void ask_others(outstanding& asked);
    void probe_failed(session_id target, instant now);
    void check_outstanding(instant now);
    void check_suspects(instant now);
    void probe_next(instant now);
    session_id next_target();
    void shuffle_round();
    duration stretched(duration base) const;

    options settings;
    std::mt19937_64 random;
    session_id own;
    std::uint32_t own_incarnation = 0;
    std::uint32_t own_misses = 0;
    peer_map peers;
    std::vector<session_id> round;
    detail::update_queue news;
    std::vector<outstanding> waiting;
    std::vector<relayed> relays;
    std::uint64_t sequence = 0;
    instant next_probe{};
};

} // namespace roseworks
