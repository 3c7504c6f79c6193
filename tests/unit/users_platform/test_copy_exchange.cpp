#include "adapters/peers/copy_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include <criterion/criterion.h>

using namespace roseworks;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Knows one configuration and one server.
class known_topics final : public directory_copy_source
{
public:
    std::shared_ptr<const directory_copy>
    copy_for(const copy_request& ask) override
    {
        this->asked = ask;
        if (!this->knows)
            return nullptr;
        directory_copy copy;
        copy.state = {9, 250};
        copy.configuration = std::string(200'000, 'x');
        copy.offset = 8;
        registry_change change{7, registry_change::kind::whole, {}};
        change.entry.id = "i-1";
        change.entry.address = "10.0.0.1:80";
        copy.servers.push_back(change);
        return std::make_shared<const directory_copy>(copy);
    }

    bool knows = true;
    std::optional<copy_request> asked;
};

std::string text_of(const tcp::endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

/// A free port of loopback.
tcp::endpoint free_endpoint(asio::io_context& loop)
{
    const tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint();
}

struct exchange_pair
{
    explicit exchange_pair(std::size_t most_at_once = 8)
        : giver(this->loop, options(this->loop, most_at_once), this->meter)
        , asker(this->loop, options(this->loop, 8), this->meter)
    {
        this->giver.serve(this->topics);
    }

    copy_exchange::options options(asio::io_context& on, std::size_t most)
    {
        copy_exchange::options made;
        made.listen = free_endpoint(on);
        made.most_at_once = most;
        if (this->giver_address.empty())
            this->giver_address = text_of(made.listen);
        return made;
    }

    std::optional<directory_copy> fetch(const copy_request& ask)
    {
        std::optional<directory_copy> got;
        bool is_done = false;
        this->asker.fetch(
            this->giver_address,
            ask,
            [&](std::optional<directory_copy> copy)
            {
                got = std::move(copy);
                is_done = true;
            });
        while (!is_done)
            this->loop.run_one();
        return got;
    }

    ~exchange_pair()
    {
        this->giver.stop();
        this->asker.stop();
        this->loop.poll();
    }

    std::string giver_address;
    asio::io_context loop;
    platform::byte_meter meter;
    known_topics topics;
    copy_exchange giver;
    copy_exchange asker;
};

} // namespace

Test(copy_exchange, a_copy_comes_as_it_was_given)
{
    exchange_pair test;
    const auto copy = test.fetch({directory_topic::registry, true, 5});
    cr_assert(copy.has_value());
    cr_assert_eq(copy->state.next, 9);
    cr_assert_eq(copy->state.age_us, 250);
    cr_assert_eq(copy->configuration.size(), 200'000);
    cr_assert_eq(copy->offset, 8);
    cr_assert_eq(copy->servers.size(), 1);
    cr_assert_eq(copy->servers[0].entry.address, "10.0.0.1:80");
    cr_assert_eq(copy->servers[0].offset, 7);
    cr_assert(test.topics.asked->topic == directory_topic::registry);
    cr_assert(test.topics.asked->knows_any);
    cr_assert_eq(test.topics.asked->next, 5);
}

Test(copy_exchange, who_knows_nothing_gives_nothing)
{
    exchange_pair test;
    test.topics.knows = false;
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
}

/// A weak VM's link is not filled by routers that all start at once.
Test(copy_exchange, beyond_its_most_a_router_is_turned_away_at_once)
{
    exchange_pair test(0);
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
    cr_assert(!test.topics.asked);
}

Test(copy_exchange, what_is_no_ask_is_not_answered)
{
    exchange_pair test;
    const auto colon = test.giver_address.rfind(':');
    tcp::socket stranger(test.loop);
    stranger.connect(
        {asio::ip::address_v4::loopback(),
         static_cast<unsigned short>(
             std::stoi(test.giver_address.substr(colon + 1)))});
    asio::write(stranger, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    char byte = 0;
    bool is_closed = false;
    stranger.async_read_some(
        asio::buffer(&byte, 1),
        [&](const boost::system::error_code& error, std::size_t)
        {
            is_closed = error.failed();
        });
    while (!is_closed)
        test.loop.run_one();
    cr_assert(!test.topics.asked);
}

Test(copy_exchange, an_address_that_is_none_gives_nothing)
{
    exchange_pair test;
    test.giver_address = "nowhere";
    cr_assert(!test.fetch({directory_topic::deployment, false, 0}));
}
