#include "adapters/peers/udp_peers.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;

class fake_clock : public clock_port
{
public:
    instant now() const override
    {
        if (this->frozen)
            return *this->frozen;
        return instant(std::chrono::duration_cast<duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
    }

    stamp_ms wall() const override
    {
        return 0;
    }

    std::optional<instant> frozen;
};

class rejection_counter : public event_sink
{
public:
    void emit(const event_record& event) noexcept override
    {
        if (event.id != event_id::datagram_rejected)
            return;
        ++this->rejected;
        for (const event_field& field : event.fields)
            if (field.name == "count")
                this->reported += std::get<std::int64_t>(field.value);
    }

    int rejected = 0;
    std::int64_t reported = 0; ///< rejected datagrams according to the events
};

class recording_listener : public peer_listener
{
public:
    void visit_received(const caller_visit& visit) override
    {
        this->visits.push_back(visit);
    }

    void demand_received(const servable_demand& demand) override
    {
        this->demands.push_back(demand);
    }

    void peers_alive(std::span<const session_id> alive) override
    {
        this->alive = alive.size();
    }

    std::vector<servable_demand> demands;
    std::vector<caller_visit> visits;
    std::size_t alive = 0;
};

mac_keys make_keys(std::uint8_t current, std::vector<std::uint8_t> numbers)
{
    mac_keys keys;
    keys.current = current;
    for (std::uint8_t number : numbers)
        keys.keys[number] = std::vector<std::byte>(32, std::byte(number));
    return keys;
}

struct node
{
    node(asio::io_context& context, mac_keys keys)
        : peers(
              context,
              std::move(keys),
              udp_peers::options{
                  {asio::ip::address_v4::loopback(), 0}, "", 1000, 5s, {}},
              this->clock,
              this->events)
    {
        this->peers.start(this->listener);
    }

    fake_clock clock;
    rejection_counter events;
    recording_listener listener;
    udp_peers peers;
};

void make_members(node& a, node& b)
{
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", a.peers.address()},
        {session_id(2), "b", "dc", b.peers.address()}};
    a.peers.sessions_changed(session_id(1), list);
    b.peers.sessions_changed(session_id(2), list);
}

/// Runs until the condition holds, for at most 30 s.
bool run_until(asio::io_context& context, const std::function<bool()>& holds)
{
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (!holds() && std::chrono::steady_clock::now() < limit)
        context.run_one_for(50ms);
    return holds();
}

/// Sends datagrams to a node and waits until each one is received.
class sender
{
public:
    sender(asio::io_context& on, node& to)
        : context(on)
        , receiver(to)
        , socket(on, {asio::ip::address_v4::loopback(), 0})
    {
    }

    void send(std::span<const std::byte> datagram)
    {
        const std::string address = this->receiver.peers.address();
        const auto port = std::stoi(address.substr(address.rfind(':') + 1));
        const auto before = this->receiver.peers.traffic().datagrams_received;
        this->socket.send_to(
            asio::buffer(datagram.data(), datagram.size()),
            {asio::ip::address_v4::loopback(),
             static_cast<std::uint16_t>(port)});
        cr_assert(run_until(
            this->context,
            [&]
            {
                return this->receiver.peers.traffic().datagrams_received >
                       before;
            }));
    }

private:
    asio::io_context& context;
    node& receiver;
    asio::ip::udp::socket socket;
};

std::string write_file(const std::string& name, const std::string& text)
{
    const auto path = std::filesystem::temp_directory_path() /
                      (name + std::to_string(getpid()));
    std::ofstream(path) << text;
    return path.string();
}

std::string load_error(const std::string& path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(mac_keys::load(path));
            return std::string();
        },
        [](const mac_key_error& error)
        {
            return error.what;
        },
        []
        {
            return std::string("unknown");
        });
}

} // namespace

Test(datagram_seal, opens_a_datagram_sealed_with_a_shared_key)
{
    datagram_seal sender(make_keys(1, {1}), 5);
    const datagram_seal receiver(make_keys(2, {1, 2}), 0);
    const std::vector<std::byte> content(40, std::byte(7));
    const auto datagram = sender.seal(content);
    cr_assert_eq(datagram.size(), content.size() + datagram_seal::overhead);
    const auto opened = receiver.open(datagram);
    cr_assert(opened.has_value());
    cr_assert_eq(opened->counter, 6U);
    cr_assert(std::ranges::equal(opened->content, content));
}

Test(datagram_seal, rejects_changed_or_truncated_datagrams_and_unknown_keys)
{
    datagram_seal sender(make_keys(1, {1}), 5);
    const datagram_seal other_receiver(make_keys(2, {2}), 0);
    const auto datagram = sender.seal(std::vector<std::byte>(10));
    cr_assert_not(other_receiver.open(datagram).has_value());
    for (std::size_t i = 0; i < datagram.size(); ++i)
    {
        auto changed = datagram;
        changed[i] ^= std::byte(1);
        cr_assert_not(sender.open(changed).has_value());
    }
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        const auto truncated = std::span(datagram).first(size);
        cr_assert_not(sender.open(truncated).has_value());
    }
}

Test(replay_window, accepts_each_counter_once)
{
    replay_window window;
    cr_assert(window.accept(100));
    cr_assert(window.accept(99));
    cr_assert_not(window.accept(99));
    cr_assert_not(window.accept(100));
    cr_assert(window.accept(163));
    cr_assert_not(window.accept(100));
    cr_assert_not(window.accept(99), "too old to tell whether it was seen");
    cr_assert(window.accept(101));
}

Test(mac_keys, error_names_file_section_and_key)
{
    const auto good = write_file(
        "keys-good",
        "[keys]\ncurrent = 2\n2 = 00112233445566778899aabbccddeeff\n");
    const auto bad = write_file("keys-bad", "[keys]\ncurrent = 3\n3 = xyz\n");
    cr_assert_str_empty(load_error(good).c_str());
    const std::string error_text = load_error(bad);
    cr_assert_neq(error_text.find(bad), std::string::npos);
    cr_assert_neq(error_text.find("[keys] 3"), std::string::npos);
    cr_assert_neq(error_text.find("32 to 128 hex digits"), std::string::npos);
    std::filesystem::remove(good);
    std::filesystem::remove(bad);
}

Test(udp_peers, demands_and_visits_arrive_and_members_are_alive)
{
    asio::io_context context;
    node a(context, make_keys(1, {1}));
    node b(context, make_keys(1, {1}));
    make_members(a, b);
    servable_demand wanted;
    wanted.servable = servable_id(3);
    wanted.waiting = 4;
    a.peers.send_demand(session_id(2), "", wanted);
    cr_assert(run_until(
        context,
        [&]
        {
            return !b.listener.demands.empty();
        }));
    cr_assert_eq(b.listener.demands[0].waiting, 4U);
    cr_assert(b.listener.demands[0].from == session_id(1));
    cr_assert_eq(a.listener.alive, 2U);
    a.peers.send_visit(session_id(2), "", {servable_id(3), 9});
    cr_assert(run_until(
        context,
        [&]
        {
            return !b.listener.visits.empty();
        }));
    cr_assert_eq(b.listener.visits[0].caller, 9U);
}

Test(udp_peers, datagram_with_an_unknown_key_is_rejected_and_reported)
{
    asio::io_context context;
    node a(context, make_keys(1, {1}));
    node b(context, make_keys(2, {2}));
    make_members(a, b);
    a.peers.send_demand(session_id(2), "", servable_demand{servable_id(3)});
    cr_assert(run_until(
        context,
        [&]
        {
            return b.events.rejected > 0;
        }));
    cr_assert(b.listener.demands.empty());
}

Test(udp_peers, repeated_datagram_is_rejected)
{
    asio::io_context context;
    node b(context, make_keys(1, {1}));
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", "127.0.0.1:9"},
        {session_id(2), "b", "dc", b.peers.address()}};
    b.peers.sessions_changed(session_id(2), list);
    datagram_seal sealer(make_keys(1, {1}), 50);
    const auto datagram = sealer.seal(
        encode({session_id(1), servable_demand{servable_id(3)}, {}}));
    asio::ip::udp::socket socket(
        context, {asio::ip::address_v4::loopback(), 0});
    const std::string address = b.peers.address();
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    const asio::ip::udp::endpoint target(
        asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
    socket.send_to(asio::buffer(datagram), target);
    socket.send_to(asio::buffer(datagram), target);
    cr_assert(run_until(
        context,
        [&]
        {
            return b.events.rejected > 0;
        }));
    cr_assert_eq(b.listener.demands.size(), 1U);
}

Test(udp_peers, datagrams_of_unknown_sessions_are_dropped_and_counted)
{
    asio::io_context context;
    node b(context, make_keys(1, {1}));
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", "127.0.0.1:9"},
        {session_id(2), "b", "dc", b.peers.address()}};
    b.peers.sessions_changed(session_id(2), list);
    datagram_seal sealer(make_keys(1, {1}), 50);
    const auto datagram = sealer.seal(
        encode({session_id(7), servable_demand{servable_id(3)}, {}}));
    sender other_sender(context, b);
    for (int i = 0; i < 5; ++i)
        other_sender.send(datagram);
    cr_assert(b.listener.demands.empty());
    cr_assert_eq(b.peers.traffic().rejected, 5U);
}

/// Guards against a log that grows with each invalid datagram that anybody
/// sends.
Test(udp_peers, invalid_datagrams_cause_few_events_and_are_all_counted)
{
    asio::io_context context;
    node b(context, make_keys(1, {1}));
    b.clock.frozen = instant(1h);
    sender other_sender(context, b);
    const std::vector<std::byte> invalid_datagram(64, std::byte(9));
    for (int i = 0; i < 500; ++i)
        other_sender.send(invalid_datagram);
    cr_assert_eq(b.events.rejected, 1);
    cr_assert_eq(b.peers.traffic().rejected, 500U);
    *b.clock.frozen += 1min;
    other_sender.send(invalid_datagram);
    cr_assert_eq(b.events.rejected, 2);
    cr_assert_eq(b.events.reported, 501);
}
