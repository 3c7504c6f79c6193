#include "adapters/peers/udp_peers.hpp"

#include <roseworks/codec.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace roseworks
{

namespace
{

using udp = boost::asio::ip::udp;

std::optional<udp::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(
        std::string(text.substr(0, colon)), error);
    if (error)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [rest, port_error] = std::from_chars(first, last, port);
    if (port_error != std::errc() || rest != last)
        return std::nullopt;
    return udp::endpoint(host, port);
}

std::string to_text(const udp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
}

} // namespace

udp_peers::udp_peers(
    boost::asio::io_context& context,
    mac_keys keys,
    options settings,
    const clock_port& clock,
    event_sink& events)
    : settings(std::move(settings))
    , clock(clock)
    , events(events)
    , sealer(std::move(keys), this->settings.first_counter)
    , members(this->settings.probing)
    , socket(context, this->settings.listen)
    , tick_timer(context)
    , reload_timer(context)
{
}

std::string udp_peers::address() const
{
    return to_text(this->socket.local_endpoint());
}

void udp_peers::start(peer_listener& receiver)
{
    this->listener = &receiver;
    this->receive();
    this->schedule_tick();
    if (!this->settings.mac_key_file.empty())
        this->schedule_key_reload();
}

void udp_peers::stop()
{
    this->listener = nullptr;
    this->tick_timer.cancel();
    this->reload_timer.cancel();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

const udp_peers::counters& udp_peers::traffic() const
{
    return this->traffic_counters;
}

void udp_peers::sessions_changed(
    session_id own, std::span<const peer_session> peers)
{
    std::vector<membership::member> list;
    for (const peer_session& peer : peers)
        list.push_back(membership::member{peer.session, peer.address});
    const auto is_member = [&](session_id session)
    {
        return std::ranges::any_of(
            peers,
            [&](const peer_session& peer)
            {
                return peer.session == session;
            });
    };
    std::erase_if(
        this->replay_windows,
        [&](const auto& entry)
        {
            return !is_member(entry.first);
        });
    this->members.members_changed(own, list, this->clock.now());
    this->flush();
}

void udp_peers::send_demand(
    session_id to,
    std::string_view /*peer_address*/,
    const servable_demand& demand)
{
    this->members.send_demand(to, demand);
    this->flush();
}

void udp_peers::send_visit(
    session_id to, std::string_view /*peer_address*/, const caller_visit& visit)
{
    this->members.send_visit(to, visit);
    this->flush();
}

void udp_peers::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer),
        this->sender,
        [this](boost::system::error_code error, std::size_t bytes)
        {
            if (this->listener == nullptr)
                return;
            // An ICMP error for an earlier send is reported here. Keep reading.
            if (!error)
                this->handle_datagram(bytes);
            if (this->listener != nullptr)
                this->receive();
        });
}

void udp_peers::handle_datagram(std::size_t bytes)
{
    ++this->traffic_counters.datagrams_received;
    this->traffic_counters.bytes_received += bytes;
    const auto opened = this->sealer.open(
        std::span<const std::byte>(this->buffer).first(bytes));
    if (!opened)
    {
        this->reject("unauthenticated");
        return;
    }
    std::optional<peer_message> message;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(message, decode_peer_message(opened->content));
            return {};
        },
        [&]
        {
            message.reset();
        });
    if (!message)
    {
        this->reject("malformed");
        return;
    }
    if (!this->members.state_of(message->from))
    {
        // No event, because this is usual for a short time when a router joins
        // or leaves.
        ++this->traffic_counters.rejected;
        return;
    }
    if (this->is_replay(message->from, opened->counter))
    {
        this->reject("repeated");
        return;
    }
    this->members.received(*message, this->clock.now());
    this->flush();
}

bool udp_peers::is_replay(session_id from, std::uint64_t counter)
{
    return !this->replay_windows[from].accept(counter);
}

void udp_peers::reject(std::string_view cause)
{
    ++this->traffic_counters.rejected;
    ++this->unreported_rejections;
    const instant now = this->clock.now();
    if (now < this->next_rejection_report)
        return;
    const std::string from = to_text(this->sender);
    this->events.report(
        event_id::datagram_rejected,
        {{"address", from},
         {"reason", cause},
         {"count", this->unreported_rejections}});
    this->unreported_rejections = 0;
    this->next_rejection_report = now + rejection_report_interval;
}

void udp_peers::send(const membership::outgoing& item)
{
    const auto endpoint = parse_endpoint(item.address);
    if (!endpoint)
        return;
    const auto datagram = this->sealer.seal(encode(item.message));
    boost::system::error_code error;
    // All messages are hints, so a failed send isn't repeated.
    this->socket.send_to(boost::asio::buffer(datagram), *endpoint, 0, error);
    if (error)
        return;
    ++this->traffic_counters.datagrams_sent;
    this->traffic_counters.bytes_sent += datagram.size();
}

void udp_peers::flush()
{
    for (const membership::outgoing& item : this->members.take_outgoing())
        this->send(item);
    if (this->listener == nullptr)
        return;
    for (const servable_demand& demand : this->members.take_demands())
        this->listener->demand_received(demand);
    for (const caller_visit& visit : this->members.take_visits())
        this->listener->visit_received(visit);
    if (this->members.take_changed())
        this->notify_listener();
}

void udp_peers::notify_listener()
{
    const auto alive = this->members.alive();
    for (session_id session : alive)
    {
        if (!std::ranges::binary_search(this->reported_alive, session))
            this->report_change(session, liveness::alive);
    }
    for (session_id session : this->reported_alive)
    {
        if (!std::ranges::binary_search(alive, session))
            this->report_change(session, liveness::dead);
    }
    this->reported_alive = alive;
    this->listener->peers_alive(alive);
}

void udp_peers::report_change(session_id session, liveness state)
{
    const bool is_gone = state == liveness::dead;
    if (is_gone)
        this->events.report(
            event_id::peer_gone,
            {{"session", session.value},
             {"reason", std::string_view("silent")}});
    else
        this->events.report(
            event_id::peer_joined, {{"session", session.value}});
}

void udp_peers::schedule_tick()
{
    // Sessions may be added between ticks, so tick at least once per
    // acknowledgement timeout.
    const instant latest =
        this->clock.now() + this->settings.probing.ack_timeout;
    const instant due = std::min(latest, this->members.next_tick());
    const duration wait = std::max(due - this->clock.now(), duration(1000));
    this->tick_timer.expires_after(wait);
    this->tick_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled || this->listener == nullptr)
                return;
            this->members.tick(this->clock.now());
            this->flush();
            this->schedule_tick();
        });
}

void udp_peers::schedule_key_reload()
{
    this->reload_timer.expires_after(this->settings.key_reload_interval);
    this->reload_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled || this->listener == nullptr)
                return;
            this->reload_keys();
            this->schedule_key_reload();
        });
}

void udp_peers::reload_keys()
{
    if (this->settings.mac_key_file.empty())
        return;
    // If the file can't be read, the current keys stay in use.
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(keys, mac_keys::load(this->settings.mac_key_file));
            this->sealer.replace_keys(std::move(keys));
            return {};
        },
        [&](const mac_key_error& error)
        {
            this->events.report(
                event_id::settings_refused, {{"reason", error.what}});
        },
        [] {});
}

} // namespace roseworks
