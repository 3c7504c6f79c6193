#include "adapters/peers/copy_exchange.hpp"
#include "adapters/peers/deflate.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>

#include <criterion/criterion.h>

using namespace roseworks;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

/// Provides copies with one configuration and one server.
class fake_copy_source final : public directory_copy_source
{
public:
    std::shared_ptr<const directory_copy>
    copy_for(const copy_request& request) override
    {
        this->requested = request;
        if (!this->has_data)
            return nullptr;
        directory_copy copy;
        copy.state = {9, 250};
        copy.configuration = this->configuration;
        copy.offset = 8;
        registry_change change{7, registry_change::kind::whole, {}};
        change.entry.id = "i-1";
        change.entry.address = "10.0.0.1:80";
        copy.servers.push_back(change);
        return std::make_shared<const directory_copy>(copy);
    }

    bool has_newer(const copy_request&) const override
    {
        return this->is_newer;
    }

    std::string configuration = std::string(200'000, 'x');
    bool has_data = true;
    bool is_newer = true;
    std::optional<copy_request> requested;
};

std::string to_text(const tcp::endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

/// @return A loopback endpoint with a free port.
tcp::endpoint free_endpoint(asio::io_context& loop)
{
    const tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint();
}

struct exchange_fixture
{
    explicit exchange_fixture(
        std::size_t max_concurrent_requests = 8,
        std::size_t max_connections = 64)
        : provider_made(make(max_concurrent_requests, max_connections))
        , requester_made(make(8, 64))
        , provider(*this->provider_made)
        , requester(*this->requester_made)
    {
        this->provider.serve(this->topics);
    }

    /// Another process may take a free port before it is bound here, so a port
    /// that is in use by then is replaced by another one.
    std::unique_ptr<copy_exchange>
    make(std::size_t most, std::size_t max_connections)
    {
        constexpr int max_tries = 20;
        for (int i = 1;; ++i)
        {
            copy_exchange::options chosen;
            chosen.listen = free_endpoint(this->loop);
            chosen.max_concurrent_requests = most;
            chosen.max_connections = max_connections;
            try
            {
                auto made = std::make_unique<copy_exchange>(
                    this->loop, chosen, this->meter);
                if (this->provider_address.empty())
                    this->provider_address = to_text(chosen.listen);
                return made;
            }
            catch (const boost::system::system_error& error)
            {
                const bool is_taken =
                    error.code() == boost::asio::error::address_in_use;
                if (!is_taken || i == max_tries)
                    throw;
            }
        }
    }

    std::optional<directory_copy> fetch(const copy_request& request)
    {
        std::optional<directory_copy> received;
        bool is_done = false;
        this->requester.fetch(
            this->provider_address,
            request,
            [&](std::optional<directory_copy> copy)
            {
                received = std::move(copy);
                is_done = true;
            });
        while (!is_done)
            this->loop.run_one();
        return received;
    }

    ~exchange_fixture()
    {
        this->provider.stop();
        this->requester.stop();
        this->loop.poll();
    }

    std::string provider_address;
    asio::io_context loop;
    platform::byte_meter meter;
    fake_copy_source topics;
    std::unique_ptr<copy_exchange> provider_made;
    std::unique_ptr<copy_exchange> requester_made;
    copy_exchange& provider;
    copy_exchange& requester;
};

} // namespace

Test(copy_exchange, a_copy_is_received_unchanged)
{
    exchange_fixture test;
    const auto copy = test.fetch({directory_topic::registry, true, 5});
    cr_assert(copy.has_value());
    cr_assert_eq(copy->state.next, 9);
    cr_assert_eq(copy->state.age_us, 250);
    cr_assert_eq(copy->configuration.size(), 200'000);
    cr_assert_eq(copy->offset, 8);
    cr_assert_eq(copy->servers.size(), 1);
    cr_assert_eq(copy->servers[0].entry.address, "10.0.0.1:80");
    cr_assert_eq(copy->servers[0].offset, 7);
    cr_assert(test.topics.requested->topic == directory_topic::registry);
    cr_assert(test.topics.requested->knows_any);
    cr_assert_eq(test.topics.requested->next, 5);
}

Test(copy_exchange, a_router_without_data_provides_no_copy)
{
    exchange_fixture test;
    test.topics.has_data = false;
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
}

/// Guards against saturating the link of a small VM when many routers start at
/// the same time and request copies.
Test(copy_exchange, requests_beyond_the_limit_are_refused_at_once)
{
    exchange_fixture test(0);
    std::mt19937_64 random(1);
    for (char& byte : test.topics.configuration)
        byte = static_cast<char>(random()); // doesn't shrink when compressed
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
    test.topics.configuration.resize(1000);
    cr_assert(test.fetch({directory_topic::deployment, false, 0}));
}

/// One in fourteen sizes of texts that don't shrink lost its last bits, and the
/// copy with it.
Test(copy_exchange, texts_of_any_size_survive_compression)
{
    constexpr std::size_t max_bytes = 4000;
    std::mt19937_64 random(1);
    std::string text;
    for (std::size_t size = 0; size < max_bytes; ++size)
    {
        const auto unpacked =
            peers::inflate(peers::deflate(text), 2 * max_bytes);
        cr_assert(unpacked.has_value(), "%zu bytes", size);
        cr_assert(*unpacked == text, "%zu bytes", size);
        text += static_cast<char>(random());
    }
}

Test(copy_exchange, connections_beyond_the_limit_are_closed_at_once)
{
    exchange_fixture test(8, 0);
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
    cr_assert(!test.topics.requested);
}

/// Routers that asked again and again until the router above them had a version
/// received it later than necessary.
Test(copy_exchange, a_request_is_held_until_there_are_newer_records)
{
    exchange_fixture test;
    test.topics.is_newer = false;
    copy_request request{directory_topic::deployment, true, 5};
    request.hold_us = duration(1s).count();
    asio::steady_timer timer(test.loop, 20ms);
    timer.async_wait(
        [&](const boost::system::error_code&)
        {
            cr_assert(!test.topics.requested);
            test.topics.is_newer = true;
            test.provider.data_changed();
        });
    cr_assert(test.fetch(request));
    cr_assert(test.topics.is_newer);
}

Test(copy_exchange, a_request_is_answered_when_its_hold_time_has_passed)
{
    exchange_fixture test;
    test.topics.is_newer = false;
    copy_request request{directory_topic::deployment, true, 5};
    request.hold_us = duration(20ms).count();
    cr_assert(test.fetch(request));
}

Test(deflate, a_text_is_restored)
{
    std::mt19937_64 random(3);
    for (const std::size_t size : {0, 1, 1000, 1'000'000})
    {
        std::string text;
        for (std::size_t i = 0; i < size; ++i)
            text += static_cast<char>('a' + random() % 4);
        const std::string compressed = peers::deflate(text);
        cr_assert_eq(*peers::inflate(compressed, size + 1), text);
        cr_assert(size < 1000 || compressed.size() < size / 2);
        cr_assert(size == 0 || !peers::inflate(compressed, size - 1));
    }
}

Test(deflate, malformed_data_is_rejected)
{
    const std::string compressed = peers::deflate(std::string(5000, 'a') + "b");
    std::mt19937_64 random(5);
    for (int i = 0; i < 2000; ++i)
    {
        std::string damaged = compressed;
        damaged.resize(random() % damaged.size());
        cr_assert(!peers::inflate(damaged, 10'000));
    }
}

Test(copy_exchange, a_malformed_request_is_not_answered)
{
    exchange_fixture test;
    const auto colon = test.provider_address.rfind(':');
    tcp::socket client(test.loop);
    client.connect(
        {asio::ip::address_v4::loopback(),
         static_cast<unsigned short>(
             std::stoi(test.provider_address.substr(colon + 1)))});
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    char byte = 0;
    bool is_closed = false;
    client.async_read_some(
        asio::buffer(&byte, 1),
        [&](const boost::system::error_code& error, std::size_t)
        {
            is_closed = error.failed();
        });
    while (!is_closed)
        test.loop.run_one();
    cr_assert(!test.topics.requested);
}

Test(copy_exchange, a_fetch_from_an_invalid_address_returns_nothing)
{
    exchange_fixture test;
    test.provider_address = "nowhere";
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
}
