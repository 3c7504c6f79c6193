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

class steady_clock_fake : public clock_port
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

class counting_sink : public event_sink
{
public:
    void emit(const event_record& event) noexcept override
    {
        if (event.id != event_id::datagram_rejected)
            return;
        ++this->rejected;
        for (const event_field& field : event.fields)
            if (field.name == "count")
                this->counted += std::get<std::int64_t>(field.value);
    }

    int rejected = 0;
    std::int64_t counted = 0; ///< datagrams that the events told of
};

class recorder : public peer_listener
{
public:
    void visit_received(const caller_visit& what) override
    {
        this->visits.push_back(what);
    }

    void demand_received(const servable_demand& what) override
    {
        this->demands.push_back(what);
    }

    void peers_alive(std::span<const session_id> alive) override
    {
        this->alive = alive.size();
    }

    std::vector<servable_demand> demands;
    std::vector<caller_visit> visits;
    std::size_t alive = 0;
};

mac_keys keys_of(std::uint8_t current, std::vector<std::uint8_t> numbers)
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
        this->peers.start(this->heard);
    }

    steady_clock_fake clock;
    counting_sink events;
    recorder heard;
    udp_peers peers;
};

void introduce(node& a, node& b)
{
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", a.peers.address()},
        {session_id(2), "b", "dc", b.peers.address()}};
    a.peers.sessions_changed(session_id(1), list);
    b.peers.sessions_changed(session_id(2), list);
}

/// Runs until the condition holds; a generous limit ends a hang.
bool run_until(asio::io_context& context, const std::function<bool()>& holds)
{
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (!holds() && std::chrono::steady_clock::now() < limit)
        context.run_one_for(50ms);
    return holds();
}

/// Sends datagrams to a node, each read before the next.
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

std::string written(const std::string& name, const std::string& text)
{
    const auto path = std::filesystem::temp_directory_path() /
                      (name + std::to_string(getpid()));
    std::ofstream(path) << text;
    return path.string();
}

std::string load_problem(const std::string& path)
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

Test(datagram_seal, opens_what_a_shared_key_sealed)
{
    datagram_seal sender(keys_of(1, {1}), 5);
    const datagram_seal receiver(keys_of(2, {1, 2}), 0);
    const std::vector<std::byte> content(40, std::byte(7));
    const auto datagram = sender.seal(content);
    cr_assert_eq(datagram.size(), content.size() + datagram_seal::overhead);
    const auto opened = receiver.open(datagram);
    cr_assert(opened.has_value());
    cr_assert_eq(opened->counter, 6U);
    cr_assert(std::ranges::equal(opened->content, content));
}

Test(datagram_seal, refuses_any_changed_byte_and_unknown_keys)
{
    datagram_seal sender(keys_of(1, {1}), 5);
    const datagram_seal stranger(keys_of(2, {2}), 0);
    const auto datagram = sender.seal(std::vector<std::byte>(10));
    cr_assert_not(stranger.open(datagram).has_value());
    for (std::size_t i = 0; i < datagram.size(); ++i)
    {
        auto changed = datagram;
        changed[i] ^= std::byte(1);
        cr_assert_not(sender.open(changed).has_value());
    }
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        const auto cut = std::span(datagram).first(size);
        cr_assert_not(sender.open(cut).has_value());
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
    cr_assert_not(window.accept(99), "too old to be told from a repeat");
    cr_assert(window.accept(101));
}

Test(mac_keys, names_file_section_and_key)
{
    const auto good = written(
        "keys-good",
        "[keys]\ncurrent = 2\n2 = 00112233445566778899aabbccddeeff\n");
    const auto bad = written("keys-bad", "[keys]\ncurrent = 3\n3 = xyz\n");
    cr_assert_str_empty(load_problem(good).c_str());
    const std::string problem = load_problem(bad);
    cr_assert_neq(problem.find(bad), std::string::npos);
    cr_assert_neq(problem.find("[keys] 3"), std::string::npos);
    cr_assert_neq(problem.find("32 to 128 hex digits"), std::string::npos);
    std::filesystem::remove(good);
    std::filesystem::remove(bad);
}

Test(udp_peers, demand_arrives_and_members_see_each_other)
{
    asio::io_context context;
    node a(context, keys_of(1, {1}));
    node b(context, keys_of(1, {1}));
    introduce(a, b);
    servable_demand wanted;
    wanted.servable = servable_id(3);
    wanted.waiting = 4;
    a.peers.send_demand(session_id(2), "", wanted);
    cr_assert(run_until(
        context,
        [&]
        {
            return !b.heard.demands.empty();
        }));
    cr_assert_eq(b.heard.demands[0].waiting, 4U);
    cr_assert(b.heard.demands[0].from == session_id(1));
    cr_assert_eq(a.heard.alive, 2U);
    a.peers.send_visit(session_id(2), "", {servable_id(3), 9});
    cr_assert(run_until(
        context,
        [&]
        {
            return !b.heard.visits.empty();
        }));
    cr_assert_eq(b.heard.visits[0].caller, 9U);
}

Test(udp_peers, wrong_key_is_rejected_and_counted)
{
    asio::io_context context;
    node a(context, keys_of(1, {1}));
    node b(context, keys_of(2, {2}));
    introduce(a, b);
    a.peers.send_demand(session_id(2), "", servable_demand{servable_id(3)});
    cr_assert(run_until(
        context,
        [&]
        {
            return b.events.rejected > 0;
        }));
    cr_assert(b.heard.demands.empty());
}

Test(udp_peers, repeated_datagram_is_rejected)
{
    asio::io_context context;
    node b(context, keys_of(1, {1}));
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", "127.0.0.1:9"},
        {session_id(2), "b", "dc", b.peers.address()}};
    b.peers.sessions_changed(session_id(2), list);
    datagram_seal sealer(keys_of(1, {1}), 50);
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
    cr_assert_eq(b.heard.demands.size(), 1U);
}

Test(udp_peers, datagrams_of_unknown_sessions_are_dropped_and_counted)
{
    asio::io_context context;
    node b(context, keys_of(1, {1}));
    const std::vector<peer_session> list{
        {session_id(1), "a", "dc", "127.0.0.1:9"},
        {session_id(2), "b", "dc", b.peers.address()}};
    b.peers.sessions_changed(session_id(2), list);
    datagram_seal sealer(keys_of(1, {1}), 50);
    const auto datagram = sealer.seal(
        encode({session_id(7), servable_demand{servable_id(3)}, {}}));
    sender outside(context, b);
    for (int i = 0; i < 5; ++i)
        outside.send(datagram);
    cr_assert(b.heard.demands.empty());
    cr_assert_eq(b.peers.traffic().rejected, 5U);
}

Test(udp_peers, rubbish_writes_few_lines_and_is_counted_in_full)
{
    asio::io_context context;
    node b(context, keys_of(1, {1}));
    b.clock.frozen = instant(1h);
    sender outside(context, b);
    const std::vector<std::byte> rubbish(64, std::byte(9));
    for (int i = 0; i < 500; ++i)
        outside.send(rubbish);
    cr_assert_eq(b.events.rejected, 1);
    cr_assert_eq(b.peers.traffic().rejected, 500U);
    *b.clock.frozen += 1min;
    outside.send(rubbish);
    cr_assert_eq(b.events.rejected, 2);
    cr_assert_eq(b.events.counted, 501);
}
