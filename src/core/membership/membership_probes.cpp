#include "core/membership/membership_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Missed probes of its own that a router blames on itself at most; each
/// lengthens its timeouts, so that one that is cut off or slow suspects late.
constexpr std::uint32_t max_own_misses = 4;

} // namespace

void membership::impl::answer(const probe& body, session_id from)
{
    if (body.target != this->own)
        return;
    this->send(from, probe_ack{body.sequence, this->own});
}

void membership::impl::relay(
    const indirect_probe& body, session_id from, instant now)
{
    if (!this->peers.contains(body.target))
        return;
    std::uint64_t const number = ++this->sequence;
    this->relays.push_back(
        relayed{number, body.sequence, from, body.target, now});
    this->send(body.target, probe{number, body.target});
}

void membership::impl::heard_from(session_id session)
{
    std::erase_if(
        this->waiting,
        [&](const outstanding& w)
        {
            return w.target == session;
        });
    if (this->own_misses > 0)
        --this->own_misses;
}

void membership::impl::acknowledged(const probe_ack& body)
{
    const auto relay = std::ranges::find_if(
        this->relays,
        [&](const relayed& r)
        {
            return r.own_sequence == body.sequence && r.target == body.target;
        });
    if (relay != this->relays.end())
    {
        this->send(
            relay->asker, probe_ack{relay->their_sequence, relay->target});
        this->relays.erase(relay);
        return;
    }
    const bool ours = std::ranges::any_of(
        this->waiting,
        [&](const outstanding& w)
        {
            return w.sequence == body.sequence && w.target == body.target;
        });
    if (ours)
        this->heard_from(body.target);
}

duration membership::impl::stretched(duration base) const
{
    return base * (1 + this->own_misses);
}

void membership::impl::ask_others(outstanding& asked)
{
    asked.asked_others = true;
    std::vector<session_id> helpers;
    for (const auto& [session, about] : this->peers)
    {
        if (session != asked.target && about.state == liveness::alive)
            helpers.push_back(session);
    }
    std::ranges::shuffle(helpers, this->random);
    if (helpers.size() > this->settings.fanout)
        helpers.resize(this->settings.fanout);
    for (session_id helper : helpers)
        this->send(helper, indirect_probe{asked.sequence, asked.target});
}

void membership::impl::probe_failed(session_id target, instant now)
{
    const auto found = this->peers.find(target);
    if (found == this->peers.end())
        return;
    // A member already in doubt says nothing about this router's own network.
    if (found->second.state != liveness::alive)
        return;
    this->suspect(target, found->second, now);
    this->own_misses = std::min(this->own_misses + 1, max_own_misses);
}

void membership::impl::check_outstanding(instant now)
{
    const duration give_up = this->stretched(this->settings.probe_interval);
    const duration ask = this->stretched(this->settings.ack_timeout);
    std::vector<outstanding> kept;
    for (outstanding& item : this->waiting)
    {
        if (now - item.sent >= give_up)
        {
            this->probe_failed(item.target, now);
            continue;
        }
        if (!item.asked_others && now - item.sent >= ask)
            this->ask_others(item);
        kept.push_back(item);
    }
    this->waiting = std::move(kept);
    std::erase_if(
        this->relays,
        [&](const relayed& r)
        {
            return now - r.sent >= 2 * this->settings.probe_interval;
        });
}

void membership::impl::check_suspects(instant now)
{
    const duration limit = this->stretched(this->settings.suspect_after);
    for (auto& [session, about] : this->peers)
    {
        if (about.state != liveness::suspect)
            continue;
        if (now - about.suspected >= limit)
            this->set_state(session, about, liveness::dead);
    }
}

void membership::impl::shuffle_round()
{
    this->round.clear();
    for (const auto& [session, about] : this->peers)
        this->round.push_back(session);
    std::ranges::shuffle(this->round, this->random);
}

session_id membership::impl::next_target()
{
    if (this->round.empty())
        this->shuffle_round();
    while (!this->round.empty())
    {
        const session_id target = this->round.back();
        this->round.pop_back();
        if (this->peers.contains(target))
            return target;
    }
    return {};
}

void membership::impl::probe_next(instant now)
{
    this->next_probe = now + this->settings.probe_interval;
    const session_id target = this->next_target();
    if (!target)
        return;
    std::uint64_t const number = ++this->sequence;
    const bool already = std::ranges::any_of(
        this->waiting,
        [&](const outstanding& w)
        {
            return w.target == target;
        });
    if (!already)
        this->waiting.push_back(outstanding{number, target, now, false});
    this->send(target, probe{number, target});
}

void membership::impl::tick(instant now)
{
    if (!this->own)
        return;
    this->check_outstanding(now);
    this->check_suspects(now);
    if (now >= this->next_probe)
        this->probe_next(now);
}

instant membership::impl::next_tick() const
{
    instant next = this->next_probe;
    for (const outstanding& item : this->waiting)
    {
        if (!item.asked_others)
        {
            next = std::min(
                next, item.sent + this->stretched(this->settings.ack_timeout));
        }
    }
    return next;
}

} // namespace roseworks
