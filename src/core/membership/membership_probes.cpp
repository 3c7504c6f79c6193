#include "core/membership/membership_impl.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

namespace
{

/// Limit of `local_failures`, the failed probes that a router attributes to
/// itself. Each of them lengthens its timeouts by their base value, so that a
/// router that is slow or disconnected is slow to suspect others.
constexpr std::uint32_t max_local_failures = 4;

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
    this->relayed_probes.push_back(
        relayed_probe{number, body.sequence, from, body.target, now});
    this->send(body.target, probe{number, body.target});
}

void membership::impl::mark_answered(session_id session)
{
    std::erase_if(
        this->outstanding_probes,
        [&](const outstanding& w)
        {
            return w.target == session;
        });
    if (this->local_failures > 0)
        --this->local_failures;
}

void membership::impl::acknowledged(const probe_ack& body)
{
    const auto relay = std::ranges::find_if(
        this->relayed_probes,
        [&](const relayed_probe& r)
        {
            return r.own_sequence == body.sequence && r.target == body.target;
        });
    if (relay != this->relayed_probes.end())
    {
        this->send(
            relay->requester,
            probe_ack{relay->requester_sequence, relay->target});
        this->relayed_probes.erase(relay);
        return;
    }
    const bool is_own = std::ranges::any_of(
        this->outstanding_probes,
        [&](const outstanding& w)
        {
            return w.sequence == body.sequence && w.target == body.target;
        });
    if (is_own)
        this->mark_answered(body.target);
}

duration membership::impl::scaled_timeout(duration base) const
{
    return base * (1 + this->local_failures);
}

void membership::impl::send_indirect_probes(outstanding& pending)
{
    pending.indirect_sent = true;
    std::vector<session_id> proxies;
    for (const auto& [session, record] : this->peers)
    {
        if (session != pending.target && record.state == liveness::alive)
            proxies.push_back(session);
    }
    std::ranges::shuffle(proxies, this->random);
    if (proxies.size() > this->settings.fanout)
        proxies.resize(this->settings.fanout);
    for (session_id proxy : proxies)
        this->send(proxy, indirect_probe{pending.sequence, pending.target});
}

void membership::impl::probe_failed(session_id target, instant now)
{
    const auto found = this->peers.find(target);
    if (found == this->peers.end())
        return;
    // A failed probe of a member that is already suspect or dead is no evidence
    // of a fault on the side of this router.
    if (found->second.state != liveness::alive)
        return;
    this->suspect(target, found->second, now);
    this->local_failures =
        std::min(this->local_failures + 1, max_local_failures);
}

void membership::impl::check_outstanding(instant now)
{
    const duration failure_timeout =
        this->scaled_timeout(this->settings.probe_interval);
    const duration indirect_timeout =
        this->scaled_timeout(this->settings.ack_timeout);
    std::vector<outstanding> kept;
    for (outstanding& item : this->outstanding_probes)
    {
        if (now - item.sent >= failure_timeout)
        {
            this->probe_failed(item.target, now);
            continue;
        }
        if (!item.indirect_sent && now - item.sent >= indirect_timeout)
            this->send_indirect_probes(item);
        kept.push_back(item);
    }
    this->outstanding_probes = std::move(kept);
    std::erase_if(
        this->relayed_probes,
        [&](const relayed_probe& r)
        {
            return now - r.sent >= 2 * this->settings.probe_interval;
        });
}

void membership::impl::check_suspects(instant now)
{
    const duration limit = this->scaled_timeout(this->settings.suspect_after);
    for (auto& [session, record] : this->peers)
    {
        if (record.state != liveness::suspect)
            continue;
        if (now - record.suspected >= limit)
            this->set_state(session, record, liveness::dead);
    }
}

void membership::impl::shuffle_probe_round()
{
    this->probe_round.clear();
    for (const auto& [session, record] : this->peers)
        this->probe_round.push_back(session);
    std::ranges::shuffle(this->probe_round, this->random);
}

session_id membership::impl::next_target()
{
    if (this->probe_round.empty())
        this->shuffle_probe_round();
    while (!this->probe_round.empty())
    {
        const session_id target = this->probe_round.back();
        this->probe_round.pop_back();
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
    const bool is_pending = std::ranges::any_of(
        this->outstanding_probes,
        [&](const outstanding& w)
        {
            return w.target == target;
        });
    if (!is_pending)
        this->outstanding_probes.push_back(
            outstanding{number, target, now, false});
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
    for (const outstanding& item : this->outstanding_probes)
    {
        if (!item.indirect_sent)
        {
            next = std::min(
                next,
                item.sent + this->scaled_timeout(this->settings.ack_timeout));
        }
    }
    return next;
}

} // namespace roseworks
