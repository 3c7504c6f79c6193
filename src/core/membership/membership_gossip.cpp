#include "core/membership/membership_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

void membership::impl::members_changed(
    session_id session, std::span<const member> list, instant now)
{
    peer_map kept;
    for (const member& listed : list)
    {
        if (listed.session == session)
            continue;
        const auto old = this->peers.find(listed.session);
        peer kept_peer = old == this->peers.end() ? peer{} : old->second;
        kept_peer.address = listed.address;
        kept.emplace(listed.session, std::move(kept_peer));
    }
    const bool same = this->own == session &&
                      kept.size() == this->peers.size() &&
                      std::ranges::equal(
                          kept,
                          this->peers,
                          {},
                          &peer_map::value_type::first,
                          &peer_map::value_type::first);
    if (this->own != session)
    {
        this->own_incarnation = 0;
        this->next_probe = now;
    }
    this->own = session;
    this->peers = std::move(kept);
    if (same)
        return;
    this->changed = true;
    std::erase_if(
        this->outstanding_probes,
        [&](const outstanding& w)
        {
            return !this->peers.contains(w.target);
        });
}

void membership::impl::send(
    session_id to, const decltype(peer_message::body)& body)
{
    const auto found = this->peers.find(to);
    if (found == this->peers.end() || !this->own)
        return;
    peer_message message{this->own, body, {}};
    message.updates = this->update_backlog.take(this->peers.size());
    // A member that this router takes for suspect or dead is told so, so that
    // it can refute it.
    if (found->second.state != liveness::alive)
    {
        const member_update suspicion{
            to, found->second.incarnation, found->second.state};
        if (message.updates.size() == max_updates)
            message.updates.pop_back();
        message.updates.push_back(suspicion);
    }
    this->datagrams.push_back(
        outgoing{found->second.address, std::move(message)});
}

void membership::impl::set_state(
    session_id session, peer& record, liveness state)
{
    const bool was_live = record.state != liveness::dead;
    record.state = state;
    this->update_backlog.push(
        member_update{session, record.incarnation, state});
    if (was_live != (state != liveness::dead))
        this->changed = true;
}

void membership::impl::suspect(session_id session, peer& record, instant now)
{
    if (record.state != liveness::alive)
        return;
    record.suspected = now;
    this->set_state(session, record, liveness::suspect);
}

void membership::impl::merge_own(const member_update& update)
{
    if (update.state == liveness::alive)
        return;
    if (update.incarnation < this->own_incarnation)
        return;
    this->own_incarnation = update.incarnation + 1;
    this->update_backlog.push(
        member_update{this->own, this->own_incarnation, liveness::alive});
}

void membership::impl::merge(const member_update& update, instant now)
{
    if (update.session == this->own)
    {
        this->merge_own(update);
        return;
    }
    const auto found = this->peers.find(update.session);
    if (found == this->peers.end())
        return;
    peer& record = found->second;
    const bool newer = update.incarnation > record.incarnation;
    const bool overrides =
        update.incarnation == record.incarnation && update.state > record.state;
    if (!newer && !overrides)
        return;
    record.incarnation = update.incarnation;
    if (update.state == liveness::suspect)
        record.suspected = now;
    this->set_state(update.session, record, update.state);
}

void membership::impl::received(const peer_message& message, instant now)
{
    if (!this->own || message.from == this->own)
        return;
    // A datagram of a session that is not in the log may be a replay.
    if (!this->peers.contains(message.from))
        return;
    for (const member_update& update : message.updates)
        this->merge(update, now);
    if (const auto* body = std::get_if<probe>(&message.body))
        this->answer(*body, message.from);
    else if (const auto* indirect = std::get_if<indirect_probe>(&message.body))
        this->relay(*indirect, message.from, now);
    else if (const auto* ack = std::get_if<probe_ack>(&message.body))
        this->acknowledged(*ack);
    else if (const auto* wanted = std::get_if<servable_demand>(&message.body))
        this->demands.push_back(*wanted);
    else
        this->visits.push_back(std::get<caller_visit>(message.body));
}

void membership::impl::send_demand(session_id to, const servable_demand& what)
{
    this->send(to, what);
}

void membership::impl::send_visit(session_id to, const caller_visit& what)
{
    this->send(to, what);
}

std::vector<session_id> membership::impl::alive() const
{
    std::vector<session_id> sessions;
    if (this->own)
        sessions.push_back(this->own);
    for (const auto& [session, record] : this->peers)
    {
        if (record.state != liveness::dead)
            sessions.push_back(session);
    }
    std::ranges::sort(sessions);
    return sessions;
}

std::optional<liveness> membership::impl::state_of(session_id session) const
{
    if (session == this->own)
        return liveness::alive;
    const auto found = this->peers.find(session);
    if (found == this->peers.end())
        return std::nullopt;
    return found->second.state;
}

} // namespace roseworks
