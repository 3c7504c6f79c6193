#include "adapters/events/null_event_sink.hpp"
#include "adapters/peers/gateway_peers.hpp"
#include "adapters/peers/word_archive.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

class kept_words final : public gateway_peer_listener
{
public:
    void router_report_received(const router_report& word) override
    {
        this->routers.push_back(word);
    }

    void owner_announcement_received(
        const owner_announcement& word, std::string_view) override
    {
        this->owners.push_back(word);
    }

    void connection_loss_received(const connection_loss_report& word) override
    {
        this->breaks.push_back(word);
    }

    void directory_update_received(const directory_word& word) override
    {
        this->directories.push_back(word);
    }

    void quota_query_received(const quota_ask& ask, std::string_view) override
    {
        this->asks.push_back(ask);
    }

    void quota_reply_received(const quota_answer& answer) override
    {
        this->answers.push_back(answer);
    }

    void server_limit_update_received(const server_limit_word& word) override
    {
        this->limits.push_back(word);
    }

    std::vector<server_limit_word> limits;
    std::vector<quota_ask> asks;
    std::vector<quota_answer> answers;
    std::vector<router_report> routers;
    std::vector<directory_word> directories;
    std::vector<owner_announcement> owners;
    std::vector<connection_loss_report> breaks;
};

/// Two ends on one event loop.
struct peers_pair
{
    peers_pair()
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

std::string text_of(const udp::endpoint& endpoint)
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

Test(gateway_peers, words_arrive_whole)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    gateway_peers receiver(test.loop, place, test.events, test.meter);
    kept_words kept;
    receiver.start(kept);
    const std::string to[] = {text_of(place)};
    router_report word{"r1", 5, 7, {{"llm/m1", 2, 100, 200}}, {}, {}};
    word.uses = {{"llm/m1", "e1", 1, 3}};
    word.unreachable_engines = {"e7"};
    owner_announcement owner{"r2", 9, 4, true, {}};
    owner.engines.push_back({"e1", 0, 9, 3, {{"m1", {"a1"}}}});
    test.sender.send(to, word);
    test.sender.send(to, owner);
    test.sender.send(to, connection_loss_report{"r1", 77, "e1"});
    run_until(
        test.loop,
        [&]
        {
            return kept.routers.size() == 2 && !kept.breaks.empty();
        });
    cr_assert_eq(kept.routers[0].needs[0].servable, "llm/m1");
    cr_assert_eq(kept.routers[1].uses[0].started, 3);
    cr_assert_eq(kept.routers[0].unreachable_engines.at(0), "e7");
    cr_assert(kept.routers[1].unreachable_engines.empty()); // told once
    cr_assert(kept.owners[0].ownership_released);
    cr_assert_gt(kept.routers[1].sequence, kept.routers[0].sequence);
    cr_assert_eq(kept.owners[0].engines[0].resident[0].adapters[0], "a1");
    cr_assert_eq(kept.breaks[0].request, 77);
    receiver.stop();
}

Test(gateway_peers, limits_of_many_servers_arrive_in_parts)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    gateway_peers receiver(test.loop, place, test.events, test.meter);
    kept_words kept;
    receiver.start(kept);
    constexpr std::size_t servers = 50;
    server_limit_word word{"r1", {}};
    for (std::size_t i = 0; i < servers; ++i)
        word.limits.push_back({"i-" + std::to_string(i), 1.5, 700});
    const std::string to[] = {text_of(place)};
    test.sender.send(to, word);
    std::vector<told_server_limit> arrived;
    run_until(
        test.loop,
        [&]
        {
            arrived.clear();
            for (const server_limit_word& part : kept.limits)
                arrived.insert(
                    arrived.end(), part.limits.begin(), part.limits.end());
            return arrived.size() == servers;
        });
    cr_assert_eq(arrived.size(), servers);
    cr_assert_gt(kept.limits.size(), 1U);
    cr_assert_eq(kept.limits[0].router, "r1");
    cr_assert_eq(arrived.back().server, "i-49");
    cr_assert_eq(arrived.back().per_second, 1.5);
    cr_assert_eq(arrived.back().age_us, 700);
    receiver.stop();
}

Test(gateway_peers, what_the_owner_read_arrives_in_packets_without_a_gap)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    gateway_peers receiver(test.loop, place, test.events, test.meter);
    kept_words kept;
    receiver.start(kept);
    using enum registry_change::kind;
    directory_word word;
    word.registry_from = 10;
    word.registry = {50, 700};
    word.back_for_us = 30;
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
        change.entry.leaving = true;
        change.entry.holdings.resident = {
            {std::string(200, 'm'), {"a2"}}, {"m2", {}}};
        word.changes.push_back(change);
    }
    const std::string to[] = {text_of(place)};
    test.sender.send(to, word);
    run_until(
        test.loop,
        [&]
        {
            return !kept.directories.empty() &&
                   kept.directories.back().registry.next == 50;
        });
    cr_assert_geq(kept.directories.size(), 2);
    std::vector<registry_change> changes;
    std::uint64_t from = 10;
    for (const directory_word& part : kept.directories)
    {
        cr_assert_eq(part.registry_from, from);
        cr_assert_eq(part.back_for_us, 30);
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
    cr_assert(changes[4].entry.leaving);
    cr_assert(changes[8].what == gone);
    receiver.stop();
}

Test(gateway_peers, long_words_are_split_into_packets)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    udp::socket socket(test.loop, place);
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
    const std::string to[] = {text_of(place)};
    test.sender.send(to, owner);
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
        cr_assert_leq(size, gateway_peers::most_bytes);
    }
    cr_assert_geq(packets, 15);
}

Test(gateway_peers, what_is_damaged_is_dropped)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    gateway_peers receiver(test.loop, place, test.events, test.meter);
    kept_words kept;
    receiver.start(kept);
    udp::socket socket(test.loop, test.any);
    for (const std::string& bytes :
         {std::string(), std::string("x"), std::string(40, 'y')})
        socket.send_to(asio::buffer(bytes), place);
    run_until(
        test.loop,
        [&]
        {
            return receiver.rejected() == 3;
        });
    cr_assert(kept.routers.empty());
    receiver.stop();
}

Test(gateway_peers, words_of_limits_arrive_with_their_senders_address)
{
    peers_pair test;
    const udp::endpoint place = free_endpoint();
    gateway_peers receiver(test.loop, place, test.events, test.meter);
    kept_words kept;
    receiver.start(kept);
    quota_ask ask;
    ask.router = "r1";
    ask.heard_ago_us = 5;
    ask.counts_in_us = 7;
    ask.draws = {{1ULL << 40, "o1", 1540, 100'000}};
    ask.returns = {{"o2", 200}};
    test.sender.send(text_of(place), ask);
    test.sender.send(text_of(place), quota_answer{"r2", {{9, true, 20}}});
    run_until(
        test.loop,
        [&]
        {
            return !kept.asks.empty() && !kept.answers.empty();
        });
    cr_assert_eq(kept.asks[0].router, "r1");
    cr_assert_eq(kept.asks[0].heard_ago_us, 5);
    cr_assert_eq(kept.asks[0].counts_in_us, 7);
    cr_assert_eq(kept.asks[0].draws[0].id, 1ULL << 40);
    cr_assert_eq(kept.asks[0].draws[0].amount, 1540);
    cr_assert_eq(kept.asks[0].returns[0].organisation, "o2");
    cr_assert_eq(kept.answers[0].accountant, "r2");
    cr_assert(kept.answers[0].results[0].is_allowed);
    cr_assert_eq(kept.answers[0].results[0].wait_us, 20);
    receiver.stop();
}

Test(word_archive, a_length_beyond_the_word_takes_no_memory)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(std::string("r1"));
    }
    std::string word = out.str();
    std::string read;
    word_archive whole(word);
    whole(read);
    cr_assert_eq(read, "r1");
    // The length follows the mark of the byte order.
    word[7] = '\x7f';
    word_archive forged(word);
    cr_assert_throw(forged(read), cereal::Exception);
    cr_assert_throw(word_archive(std::string_view()), cereal::Exception);
}
