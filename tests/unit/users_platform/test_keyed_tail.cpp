#include "adapters/platform/backoff.hpp"
#include "fake_backend.hpp"
#include "platform/keyed_tail.hpp"
#include "platform/store_frames.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using edge::tests::backend_peer;
using edge::tests::fake_backend;
namespace asio = boost::asio;

namespace
{

std::string http_ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string two_versions()
{
    return std::string(16, '\0') + encode_keyed_record({"config", "old"}) +
           encode_keyed_record({"config", "new"});
}

/// Answers listings with nothing and reads with two records of one key, and
/// keeps what was asked.
fake_backend::script store(std::vector<std::string>& asked)
{
    return [&asked](backend_peer& peer)
    {
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            const bool listing = request.starts_with("GET /log-newest");
            asked.push_back(listing ? "list" : "read");
            peer.send(http_ok(
                listing ? R"({"items":[],"end":0,"has_more":false})"
                        : two_versions()));
        }
    };
}

/// Runs a tail until it has told of so many records.
std::vector<std::string> follow(
    keyed_tail::options settings, const std::string& address, std::size_t count)
{
    asio::io_context loop;
    platform::byte_meter meter;
    store_client client(
        loop.get_executor(),
        *platform::parse_endpoint(address),
        store_client::options(),
        meter);
    std::vector<std::string> told;
    keyed_tail* running = nullptr;
    keyed_tail tail(
        loop.get_executor(),
        client,
        std::move(settings),
        {[](const std::vector<keyed_record>&) {},
         [&](const keyed_record& record)
         {
             told.push_back(*record.value);
             if (told.size() == count)
                 running->stop();
         },
         [](bool) {}});
    running = &tail;
    asio::co_spawn(loop, tail.run(), asio::detached);
    loop.run_for(std::chrono::seconds(20));
    return told;
}

} // namespace

/// Ten configurations a second of 60 KB each came 3 s late through a link of
/// 10 Mbit/s when each was read.
Test(keyed_tail, where_only_the_newest_matters_those_between_are_not_read)
{
    std::vector<std::string> asked;
    fake_backend backend(store(asked));
    keyed_tail::options settings;
    settings.topic = "keyed.op";
    settings.gather = std::chrono::milliseconds(1);
    const auto told = follow(settings, backend.address(), 2);
    const std::vector<std::string> newest{"new", "new"};
    cr_assert(told == newest);
    const std::vector<std::string> wanted{"list", "read", "list", "read"};
    cr_assert(asked == wanted);
}

Test(keyed_tail, elsewhere_every_record_is_read)
{
    std::vector<std::string> asked;
    fake_backend backend(store(asked));
    keyed_tail::options settings;
    settings.topic = "keyed.servers";
    const auto told = follow(settings, backend.address(), 4);
    const std::vector<std::string> all{"old", "new", "old", "new"};
    cr_assert(told == all);
    const std::vector<std::string> wanted{"list", "read", "read"};
    cr_assert(asked == wanted);
}

/// Seventy routers that each tried every 200 ms made 380 calls a second of a
/// store that was down.
Test(backoff, doubles_up_to_the_longest)
{
    platform::backoff pauses(
        std::chrono::milliseconds(200), std::chrono::milliseconds(700), 5);
    for (const int most : {200, 400, 700, 700, 700})
    {
        const auto pause = pauses.next().count();
        cr_assert_leq(pause, most);
        cr_assert_geq(pause, most / 2);
    }
    pauses.reset();
    cr_assert_leq(pauses.next().count(), 200);
}
