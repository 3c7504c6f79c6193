#include "adapters/platform/backoff.hpp"
#include "adapters/platform/system_clock.hpp"
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

/// Answers listings with no records and reads with two records of one key.
/// Records the kind of each request.
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

/// Runs a reader until it has passed on `count` records.
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
    const platform::system_clock clock;
    keyed_tail tail(
        loop.get_executor(),
        clock,
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

/// A clock that a test advances.
class set_clock final : public clock_port
{
public:
    instant now() const override
    {
        return this->time;
    }

    stamp_ms wall() const override
    {
        return 0;
    }

    instant time{std::chrono::seconds(100)};
};

/// A reader that is not the primary reader, and relies on the updates of
/// another router.
struct following_tail
{
    explicit following_tail(keyed_tail::options settings = following())
        : client(
              this->loop.get_executor(),
              *platform::parse_endpoint(this->backend.address()),
              store_client::options(),
              this->meter)
        , tail(
              this->loop.get_executor(),
              this->clock,
              this->client,
              std::move(settings),
              {[](const std::vector<keyed_record>&) {},
               [](const keyed_record&) {},
               [this](bool)
               {
                   ++this->calls;
               }})
    {
        asio::co_spawn(this->loop, this->tail.run(), asio::detached);
    }

    static keyed_tail::options following()
    {
        keyed_tail::options made;
        made.topic = "keyed.servers";
        made.most_age = std::chrono::hours(1);
        return made;
    }

    void run_until_calls(int count)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (this->calls < count && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(std::chrono::milliseconds(100));
        this->loop.poll();
    }

    std::vector<std::string> asked;
    fake_backend backend{store(this->asked)};
    asio::io_context loop;
    platform::byte_meter meter;
    set_clock clock;
    store_client client;
    int calls = 0;
    keyed_tail tail;
};

const std::vector<std::string> listed_once{"list"};
const std::vector<std::string> listed_and_read{"list", "read"};

} // namespace

/// Guards against every router reading the store by itself: with 300 VMs, these
/// reads cost a sixth of the earnings.
Test(keyed_tail, a_reader_that_receives_all_updates_does_not_read)
{
    following_tail test;
    test.run_until_calls(1);
    for (std::uint64_t next = 0; next < 50; ++next)
        cr_assert_eq(test.tail.heard(next, {next + 1, 10}).value(), next);
    test.loop.poll();
    cr_assert(test.asked == listed_once);
    cr_assert_eq(test.tail.state().next, 50);
    test.tail.stop();
    test.loop.poll();
}

Test(keyed_tail, missed_records_are_read_at_once)
{
    following_tail test;
    test.run_until_calls(1);
    cr_assert(!test.tail.heard(1, {2, 10}));
    test.run_until_calls(2);
    cr_assert(test.asked == listed_and_read);
    test.tail.stop();
    test.loop.poll();
}

Test(keyed_tail, old_data_is_read_again_without_an_update)
{
    keyed_tail::options settings = following_tail::following();
    settings.most_age = std::chrono::milliseconds(1);
    following_tail test(settings);
    test.run_until_calls(1);
    test.clock.time += std::chrono::seconds(1);
    test.run_until_calls(2);
    cr_assert(test.asked == listed_and_read);
    test.tail.stop();
    test.loop.poll();
}

Test(keyed_tail, a_coalescing_reader_lists_instead_of_reading_missed_records)
{
    keyed_tail::options settings = following_tail::following();
    settings.gather = std::chrono::milliseconds(1);
    following_tail test(settings);
    test.run_until_calls(1);
    cr_assert(!test.tail.heard(3, {3, 10}));
    test.run_until_calls(2);
    const std::vector<std::string> twice{"list", "list"};
    cr_assert(test.asked == twice);
    test.tail.stop();
    test.loop.poll();
}

Test(keyed_tail, only_the_primary_reader_reads_continuously)
{
    following_tail test;
    test.run_until_calls(1);
    test.tail.lead(true);
    test.run_until_calls(3);
    test.tail.lead(false);
    test.loop.poll();
    cr_assert_geq(test.asked.size(), 3);
    cr_assert_eq(test.asked[1], "read");
    cr_assert_eq(test.asked[2], "read");
    test.tail.stop();
    test.loop.poll();
}

/// Guards against reading every configuration on a slow link: at ten
/// configurations of 60 KB per second, a 10 Mbit/s link delayed them by 3 s.
Test(keyed_tail, a_coalescing_reader_skips_replaced_records)
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

Test(keyed_tail, a_reader_that_does_not_coalesce_reads_every_record)
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

/// Guards against overloading a store that is down: 70 routers with a fixed
/// 200 ms delay sent it 380 calls per second.
Test(backoff, delays_double_up_to_the_maximum)
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
