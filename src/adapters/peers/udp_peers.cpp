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
    boost::system::error_code failed;
    const auto host = boost::asio::ip::make_address(
        std::string(text.substr(0, colon)), failed);
    if (failed)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const auto [rest, error] = std::from_chars(first, last, port);
    if (error != std::errc() || rest != last)
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
    this->arm_tick();
    if (!this->settings.mac_key_file.empty())
        this->arm_reload();
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
    return this->wire;
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
        this->windows,
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
    const servable_demand& what)
{
    this->members.send_demand(to, what);
    this->flush();
}

void udp_peers::send_visit(
    session_id to, std::string_view /*peer_address*/, const caller_visit& what)
{
    this->members.send_visit(to, what);
    this->flush();
}

void udp_peers::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer),
        this->sender,
        [this](boost::system::error_code failed, std::size_t bytes)
        {
            if (this->listener == nullptr)
                return;
            // An ICMP answer to an earlier send ends up here: keep reading.
            if (!failed)
                this->received(bytes);
            if (this->listener != nullptr)
                this->receive();
        });
}

void udp_peers::received(std::size_t bytes)
{
    ++this->wire.datagrams_received;
    this->wire.bytes_received += bytes;
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
        // Usual for a moment when a router joins or leaves: no line.
        ++this->wire.rejected;
        return;
    }
    if (this->is_repeated(message->from, opened->counter))
    {
        this->reject("repeated");
        return;
    }
    this->members.received(*message, this->clock.now());
    this->flush();
}

bool udp_peers::is_repeated(session_id from, std::uint64_t counter)
{
    return !this->windows[from].accept(counter);
}

void udp_peers::reject(std::string_view cause)
{
    ++this->wire.rejected;
    ++this->untold;
    const instant now = this->clock.now();
    if (now < this->next_report)
        return;
    const std::string from = to_text(this->sender);
    this->events.report(
        event_id::datagram_rejected,
        {{"address", from}, {"reason", cause}, {"count", this->untold}});
    this->untold = 0;
    this->next_report = now + report_interval;
}

void udp_peers::send(const membership::outgoing& item)
{
    const auto endpoint = parse_endpoint(item.address);
    if (!endpoint)
        return;
    const auto datagram = this->sealer.seal(encode(item.message));
    boost::system::error_code failed;
    // Datagrams are hints: one that can't be sent now is lost.
    this->socket.send_to(boost::asio::buffer(datagram), *endpoint, 0, failed);
    if (failed)
        return;
    ++this->wire.datagrams_sent;
    this->wire.bytes_sent += datagram.size();
}

void udp_peers::flush()
{
    for (const membership::outgoing& item : this->members.take_outgoing())
        this->send(item);
    if (this->listener == nullptr)
        return;
    for (const servable_demand& what : this->members.take_demands())
        this->listener->demand_received(what);
    for (const caller_visit& what : this->members.take_visits())
        this->listener->visit_received(what);
    if (this->members.take_changed())
        this->tell_listener();
}

void udp_peers::tell_listener()
{
    const auto alive = this->members.alive();
    for (session_id session : alive)
    {
        if (!std::ranges::binary_search(this->told, session))
            this->report_change(session, liveness::alive);
    }
    for (session_id session : this->told)
    {
        if (!std::ranges::binary_search(alive, session))
            this->report_change(session, liveness::dead);
    }
    this->told = alive;
    this->listener->peers_alive(alive);
}

void udp_peers::report_change(session_id session, liveness state)
{
    const bool gone = state == liveness::dead;
    if (gone)
        this->events.report(
            event_id::peer_gone,
            {{"session", session.value},
             {"reason", std::string_view("silent")}});
    else
        this->events.report(
            event_id::peer_joined, {{"session", session.value}});
}

void udp_peers::arm_tick()
{
    // Sessions may arrive between ticks: look at least each ack timeout.
    const instant soon = this->clock.now() + this->settings.probing.ack_timeout;
    const instant due = std::min(soon, this->members.next_tick());
    const duration wait = std::max(due - this->clock.now(), duration(1000));
    this->tick_timer.expires_after(wait);
    this->tick_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled || this->listener == nullptr)
                return;
            this->members.tick(this->clock.now());
            this->flush();
            this->arm_tick();
        });
}

void udp_peers::arm_reload()
{
    this->reload_timer.expires_after(this->settings.key_reload);
    this->reload_timer.async_wait(
        [this](boost::system::error_code cancelled)
        {
            if (cancelled || this->listener == nullptr)
                return;
            this->reload_keys();
            this->arm_reload();
        });
}

void udp_peers::reload_keys()
{
    if (this->settings.mac_key_file.empty())
        return;
    // A file that can't be read leaves the keys in force as they are.
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
