#include "core/membership/membership_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

void membership::impl::members_changed(
    session_id session, std::span<const member> list, instant now)
{
    peer_map kept;
    for (const member& item : list)
    {
        if (item.session == session)
            continue;
        const auto old = this->peers.find(item.session);
        peer value = old == this->peers.end() ? peer{} : old->second;
        value.address = item.address;
        kept.emplace(item.session, std::move(value));
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
        this->waiting,
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
    message.updates = this->news.take(this->peers.size());
    // A member that we think suspect or dead hears it first, to refute it.
    if (found->second.state != liveness::alive)
    {
        const member_update doubt{
            to, found->second.incarnation, found->second.state};
        if (message.updates.size() == max_updates)
            message.updates.pop_back();
        message.updates.push_back(doubt);
    }
    this->sends.push_back(outgoing{found->second.address, std::move(message)});
}

void membership::impl::set_state(
    session_id session, peer& about, liveness state)
{
    const bool was_counted = about.state != liveness::dead;
    about.state = state;
    this->news.push(member_update{session, about.incarnation, state});
    if (was_counted != (state != liveness::dead))
        this->changed = true;
}

void membership::impl::suspect(session_id session, peer& about, instant now)
{
    if (about.state != liveness::alive)
        return;
    about.suspected = now;
    this->set_state(session, about, liveness::suspect);
}

void membership::impl::merge_own(const member_update& update)
{
    if (update.state == liveness::alive)
        return;
    if (update.incarnation < this->own_incarnation)
        return;
    this->own_incarnation = update.incarnation + 1;
    this->news.push(
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
    peer& about = found->second;
    const bool newer = update.incarnation > about.incarnation;
    const bool worse =
        update.incarnation == about.incarnation && update.state > about.state;
    if (!newer && !worse)
        return;
    about.incarnation = update.incarnation;
    if (update.state == liveness::suspect)
        about.suspected = now;
    this->set_state(update.session, about, update.state);
}

void membership::impl::received(const peer_message& message, instant now)
{
    if (!this->own || message.from == this->own)
        return;
    // What a session says that isn't in the log may be an old datagram again.
    if (!this->peers.contains(message.from))
        return;
    for (const member_update& update : message.updates)
        this->merge(update, now);
    if (const auto* body = std::get_if<probe>(&message.body))
        this->answer(*body, message.from);
    else if (const auto* asked = std::get_if<indirect_probe>(&message.body))
        this->relay(*asked, message.from, now);
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
    for (const auto& [session, about] : this->peers)
    {
        if (about.state != liveness::dead)
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
