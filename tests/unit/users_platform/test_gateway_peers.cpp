#include "adapters/events/null_event_sink.hpp"
#include "adapters/peers/gateway_peers.hpp"
#include "adapters/peers/message_archive.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <functional>
#include <sstream>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

class recording_listener final : public gateway_peer_listener
{
public:
    void router_report_received(const router_report& update) override
    {
        this->routers.push_back(update);
    }

    void owner_announcement_received(
        const owner_announcement& update, std::string_view) override
    {
        this->owners.push_back(update);
    }

    void
    crash_report_received(const crash_report& update, std::string_view) override
    {
        this->crashes.push_back(update);
    }

    void part_crash_report_received(
        const part_crash_report& update, std::string_view) override
    {
        this->part_crashes.push_back(update);
    }

    void origin_message_received(
        const origin_message& update, std::string_view) override
    {
        this->origins.push_back(update);
    }

    void directory_update_received(const directory_update& update) override
    {
        this->directories.push_back(update);
    }

    void quota_query_received(const quota_query& ask, std::string_view) override
    {
        this->asks.push_back(ask);
    }

    void quota_reply_received(const quota_reply& answer) override
    {
        this->answers.push_back(answer);
    }

    void
    server_limit_update_received(const server_limit_update& update) override
    {
        this->limits.push_back(update);
    }

    std::vector<server_limit_update> limits;
    std::vector<quota_query> asks;
    std::vector<quota_reply> answers;
    std::vector<router_report> routers;
    std::vector<directory_update> directories;
    std::vector<owner_announcement> owners;
    std::vector<crash_report> crashes;
    std::vector<part_crash_report> part_crashes;
    std::vector<origin_message> origins;
};

/// A sender on an event loop that a test shares with a receiver.
struct peers_fixture
{
    peers_fixture()
        : sender(this->loop, this->any, this->events, this->meter)
        , receiver_socket(this->loop, this->any)
    {
        this->receiver_socket.close();
    }

    asio::io_context loop;
    udp::endpoint any{asio::ip::make_address("127.0.0.1"), 0};
    events::null_event_sink events;
    platform::byte_meter meter;
    gateway_peers sender;
    udp::socket receiver_socket;
};

udp::endpoint free_endpoint()
{
    asio::io_context loop;
    udp::socket socket(
        loop, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return socket.local_endpoint();
}

std::string to_text(const udp::endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

template <class Done>
void run_until(asio::io_context& loop, Done done)
{
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < limit)
        loop.run_one_for(std::chrono::milliseconds(100));
}

} // namespace

Test(gateway_peers, updates_are_received_unchanged)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    const std::string recipients[] = {to_text(receiver_address)};
    router_report update{"r1", 5, 7, {{"llm/m1", 2, 100, 200}}, {}, {}};
    update.uses = {{"llm/m1", "e1", 1, 3}};
    update.unreachable_engines = {"e7"};
    owner_announcement owner{"r2", 9, 4, true, {}};
    owner.engines.push_back({"e1", 0, 9, 3, {{"m1", {"a1"}}}});
    test.sender.send(recipients, update);
    test.sender.send(recipients, owner);
    crash_report crashes;
    crashes.stage = report_stage::offer;
    crashes.crashes.resize(100);
    crashes.crashes.back() = {77, 5, 3, crash_evidence::removed, true};
    crashes.trials.push_back({78, 6, 4});
    test.sender.send(recipients, crashes);
    run_until(
        test.loop,
        [&]
        {
            return listener.routers.size() == 2 && listener.crashes.size() == 3;
        });
    cr_assert_eq(listener.routers[0].needs[0].servable, "llm/m1");
    cr_assert_eq(listener.routers[1].uses[0].started, 3);
    cr_assert_eq(listener.routers[0].unreachable_engines.at(0), "e7");
    cr_assert(
        listener.routers[1].unreachable_engines.empty()); // sent only once
    cr_assert(listener.owners[0].ownership_released);
    cr_assert_gt(listener.routers[1].sequence, listener.routers[0].sequence);
    cr_assert_eq(listener.owners[0].engines[0].resident[0].adapters[0], "a1");
    const crash_report& last_part = listener.crashes[2];
    cr_assert_eq(last_part.crashes.back().request, 77);
    cr_assert(last_part.crashes.back().cleared);
    cr_assert_eq(last_part.stage, report_stage::offer);
    cr_assert_eq(listener.crashes[0].stage, report_stage::change);
    cr_assert_eq(listener.crashes[0].trials.at(0).request, 78);
    cr_assert(last_part.trials.empty());
    receiver.stop();
}

Test(gateway_peers, limits_of_many_servers_are_split_into_packets)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    constexpr std::size_t servers = 50;
    server_limit_update update{"r1", {}};
    for (std::size_t i = 0; i < servers; ++i)
        update.limits.push_back({"i-" + std::to_string(i), 1.5, 700});
    const std::string recipients[] = {to_text(receiver_address)};
    test.sender.send(recipients, update);
    std::vector<server_limit_entry> arrived;
    run_until(
        test.loop,
        [&]
        {
            arrived.clear();
            for (const server_limit_update& part : listener.limits)
                arrived.insert(
                    arrived.end(), part.limits.begin(), part.limits.end());
            return arrived.size() == servers;
        });
    cr_assert_eq(arrived.size(), servers);
    cr_assert_gt(listener.limits.size(), 1U);
    cr_assert_eq(listener.limits[0].router, "r1");
    cr_assert_eq(arrived.back().server, "i-49");
    cr_assert_eq(arrived.back().per_second, 1.5);
    cr_assert_eq(arrived.back().age_us, 700);
    receiver.stop();
}

Test(gateway_peers, origins_of_streams_arrive_in_parts)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    const std::string recipients[] = {to_text(receiver_address)};
    origin_message sent;
    sent.router = "r1";
    sent.kind = origin_message_kind::answer;
    sent.number = 7;
    sent.observed_us = 1000;
    sent.sightings = {{1, 2, 3}};
    for (std::uint64_t i = 1; i <= 200; ++i)
        sent.records.push_back({i, i + 1, 5});
    test.sender.send(recipients, sent);
    origin_message records;
    records.records = {{11, 12, 13}};
    test.sender.send(recipients, records);
    run_until(
        test.loop,
        [&]
        {
            return !listener.origins.empty() &&
                   listener.origins.back().kind == origin_message_kind::records;
        });
    std::size_t count = 0;
    for (const origin_message& part : listener.origins)
        count += part.records.size();
    cr_assert_eq(count, 201);
    cr_assert_eq(listener.origins.front().number, 7);
    cr_assert_eq(listener.origins.front().sightings.size(), 1);
    cr_assert_eq(listener.origins.front().sightings[0].age_us, 3);
    cr_assert_eq(listener.origins.back().records[0].software, 12);
    receiver.stop();
}

Test(gateway_peers, directory_updates_are_split_without_a_gap)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    using enum registry_change::kind;
    directory_update update;
    update.registry_from = 10;
    update.registry = {50, 700};
    update.outage_ended_us_ago = 30;
    for (std::uint64_t i = 0; i < 9; ++i)
    {
        registry_change change{
            20 + i,
            i == 8   ? gone
            : i == 4 ? whole
                     : models,
            {}};
        change.entry.id = "e" + std::to_string(i);
        change.entry.address = "10.0.0.9:80";
        change.entry.slots = 7;
        change.entry.version = "v7";
        change.entry.leaving = true;
        change.entry.holdings.resident = {
            {std::string(200, 'm'), {"a2"}}, {"m2", {}}};
        update.changes.push_back(change);
    }
    const std::string recipients[] = {to_text(receiver_address)};
    test.sender.send(recipients, update);
    run_until(
        test.loop,
        [&]
        {
            return !listener.directories.empty() &&
                   listener.directories.back().registry.next == 50;
        });
    cr_assert_geq(listener.directories.size(), 2);
    std::vector<registry_change> changes;
    std::uint64_t from = 10;
    for (const directory_update& part : listener.directories)
    {
        cr_assert_eq(part.registry_from, from);
        cr_assert_eq(part.outage_ended_us_ago, 30);
        from = part.registry.next;
        changes.insert(changes.end(), part.changes.begin(), part.changes.end());
    }
    cr_assert_eq(changes.size(), 9);
    cr_assert_eq(changes[3].entry.id, "e3");
    cr_assert_eq(changes[3].entry.holdings.resident[0].adapters[0], "a2");
    cr_assert(changes[3].what == models);
    cr_assert(changes[4].what == whole);
    cr_assert_eq(changes[4].entry.address, "10.0.0.9:80");
    cr_assert_eq(changes[4].entry.slots, 7);
    cr_assert_eq(changes[4].entry.version, "v7");
    cr_assert(changes[4].entry.leaving);
    cr_assert(changes[8].what == gone);
    receiver.stop();
}

Test(gateway_peers, long_updates_are_split_into_packets)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    udp::socket socket(test.loop, receiver_address);
    owner_announcement owner{"r2", 9, 4, false, {}};
    for (int i = 0; i < 90; ++i)
        owner.engines.push_back(
            {"i-0123456789",
             0,
             9,
             3,
             {{"model-name-1", {}},
              {"model-name-2", {}},
              {"model-name-3", {}}}});
    const std::string recipients[] = {to_text(receiver_address)};
    test.sender.send(recipients, owner);
    std::array<char, 65536> buffer;
    std::size_t packets = 0;
    socket.non_blocking(true);
    boost::system::error_code error;
    while (true)
    {
        const std::size_t size = socket.receive(asio::buffer(buffer), 0, error);
        if (error)
            break;
        ++packets;
        cr_assert_leq(size, gateway_peers::max_datagram_bytes);
    }
    cr_assert_geq(packets, 15);
}

Test(gateway_peers, malformed_packets_are_dropped)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    udp::socket socket(test.loop, test.any);
    for (const std::string& bytes :
         {std::string(), std::string("x"), std::string(40, 'y')})
        socket.send_to(asio::buffer(bytes), receiver_address);
    run_until(
        test.loop,
        [&]
        {
            return receiver.rejected() == 3;
        });
    cr_assert(listener.routers.empty());
    receiver.stop();
}

Test(gateway_peers, quota_messages_are_received_unchanged)
{
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    recording_listener listener;
    receiver.start(listener);
    quota_query ask;
    ask.router = "r1";
    ask.last_reply_age_us = 5;
    ask.counting_delay_us = 7;
    ask.draws = {{1ULL << 40, "o1", 1540, 100'000}};
    ask.returns = {{"o2", 200}};
    test.sender.send(to_text(receiver_address), ask);
    test.sender.send(
        to_text(receiver_address), quota_reply{"r2", {{9, true, 20}}});
    run_until(
        test.loop,
        [&]
        {
            return !listener.asks.empty() && !listener.answers.empty();
        });
    cr_assert_eq(listener.asks[0].router, "r1");
    cr_assert_eq(listener.asks[0].last_reply_age_us, 5);
    cr_assert_eq(listener.asks[0].counting_delay_us, 7);
    cr_assert_eq(listener.asks[0].draws[0].id, 1ULL << 40);
    cr_assert_eq(listener.asks[0].draws[0].amount, 1540);
    cr_assert_eq(listener.asks[0].returns[0].account, "o2");
    cr_assert_eq(listener.answers[0].accountant, "r2");
    cr_assert(listener.answers[0].results[0].is_allowed);
    cr_assert_eq(listener.answers[0].results[0].wait_us, 20);
    receiver.stop();
}

/// Guards against a forged length that makes the reader allocate memory.
Test(message_archive, a_length_beyond_the_message_is_rejected)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(std::string("r1"));
    }
    std::string update = out.str();
    std::string read;
    message_archive whole(update);
    whole(read);
    cr_assert_eq(read, "r1");
    // The length follows the byte order mark. This sets its highest byte.
    update[7] = '\x7f';
    message_archive forged(update);
    cr_assert_throw(forged(read), cereal::Exception);
    cr_assert_throw(message_archive(std::string_view()), cereal::Exception);
}

/// On a busy event loop one datagram was read in each pass, so that datagrams
/// were seconds old, or lost, when they were read.
Test(gateway_peers, datagrams_are_read_in_batches_on_a_busy_event_loop)
{
    constexpr std::size_t count = 60;
    constexpr std::size_t max_passes = 10;
    peers_fixture test;
    const udp::endpoint receiver_address = free_endpoint();
    gateway_peers receiver(
        test.loop, receiver_address, test.events, test.meter);
    const std::string to[] = {to_text(receiver_address)};
    for (std::size_t i = 0; i < count; ++i)
        test.sender.send(to, router_report());
    recording_listener listener;
    receiver.start(listener);
    std::size_t passes = 0;
    std::function<void()> pass = [&]
    {
        ++passes;
        if (listener.routers.size() < count)
            asio::post(test.loop, pass);
    };
    asio::post(test.loop, pass);
    run_until(
        test.loop,
        [&]
        {
            return listener.routers.size() == count;
        });
    cr_assert_eq(listener.routers.size(), count);
    cr_assert_leq(passes, max_passes, "%zu passes", passes);
    receiver.stop();
    test.loop.poll();
}
