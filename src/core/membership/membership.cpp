#include "core/membership/update_queue.hpp"

#include <roseworks/membership.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace roseworks
{

namespace
{

/// Missed probes of its own that a router blames on itself at most; each
/// lengthens its timeouts, so that one that is cut off or slow suspects late.
constexpr std::uint32_t max_own_misses = 4;

} // namespace

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
    std::vector<session_id> alive() const;
    std::optional<liveness> state_of(session_id session) const;
    instant next_tick() const;

    std::vector<outgoing> sends;
    std::vector<servable_demand> demands;
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
    void heard_demand(const peer_message& message);
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
    else
        this->heard_demand(message);
}

void membership::impl::heard_demand(const peer_message& message)
{
    this->demands.push_back(std::get<servable_demand>(message.body));
}

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

void membership::impl::send_demand(session_id to, const servable_demand& what)
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

membership::membership(options settings)
    : self(std::make_unique<impl>(settings))
{
}

membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

void membership::members_changed(
    session_id own, std::span<const member> members, instant now)
{
    this->self->members_changed(own, members, now);
}

void membership::received(const peer_message& message, instant now)
{
    this->self->received(message, now);
}

void membership::tick(instant now)
{
    this->self->tick(now);
}

void membership::send_demand(session_id to, const servable_demand& what)
{
    this->self->send_demand(to, what);
}

std::vector<membership::outgoing> membership::take_outgoing()
{
    return std::exchange(this->self->sends, {});
}

std::vector<servable_demand> membership::take_demands()
{
    return std::exchange(this->self->demands, {});
}

bool membership::take_changed()
{
    return std::exchange(this->self->changed, false);
}

std::vector<session_id> membership::alive() const
{
    return this->self->alive();
}

std::optional<liveness> membership::state_of(session_id session) const
{
    return this->self->state_of(session);
}

instant membership::next_tick() const
{
    return this->self->next_tick();
}

} // namespace roseworks
