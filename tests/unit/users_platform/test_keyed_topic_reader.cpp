#include "adapters/platform/backoff.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_backend.hpp"
#include "manual_clock.hpp"
#include "platform/keyed_topic_reader.hpp"
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
using roseworks::users_platform::tests::manual_clock;
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
fake_backend::script serve_store(std::vector<std::string>& requested)
{
    return [&requested](backend_peer& peer)
    {
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            const bool listing = request.starts_with("GET /log-newest");
            requested.push_back(listing ? "list" : "read");
            peer.send(http_ok(
                listing ? R"({"items":[],"end":0,"has_more":false})"
                        : two_versions()));
        }
    };
}

/// Answers the first read of two records without a length, and ends the
/// connection after the first record.
fake_backend::script cut_first_read(std::vector<std::string>& requested)
{
    return [&requested](backend_peer& peer)
    {
        const std::string header =
            std::string(7, '\0') + '\2' + std::string(8, '\0');
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            const bool listing = request.starts_with("GET /log-newest");
            requested.push_back(listing ? "list" : "read");
            const bool is_cut = request.find("from=0") != std::string::npos;
            if (listing)
                peer.send(http_ok(R"({"items":[],"end":0,"has_more":false})"));
            else if (is_cut)
            {
                peer.send(
                    "HTTP/1.1 200 OK\r\n\r\n" + header +
                    encode_keyed_record({"a", "1"}));
                return;
            }
            else
                peer.send(http_ok(header + encode_keyed_record({"b", "2"})));
        }
    };
}

/// Runs a reader until it has passed on `count` records.
std::vector<std::string> read_records(
    keyed_topic_reader::options settings,
    const std::string& address,
    std::size_t count)
{
    asio::io_context loop;
    platform::byte_meter meter;
    store_client client(
        loop.get_executor(),
        *platform::parse_endpoint(address),
        store_client::options(),
        meter);
    std::vector<std::string> values;
    keyed_topic_reader* running = nullptr;
    const platform::system_clock clock;
    keyed_topic_reader reader(
        loop.get_executor(),
        clock,
        client,
        std::move(settings),
        {[](const std::vector<keyed_record>&) {},
         [&](const keyed_record& record)
         {
             values.push_back(*record.value);
             if (values.size() == count)
                 running->stop();
         },
         [](bool) {}});
    running = &reader;
    asio::co_spawn(loop, reader.run(), asio::detached);
    loop.run_for(std::chrono::seconds(20));
    return values;
}

/// A reader that is not the primary reader, and relies on the updates of
/// another router.
struct reader_fixture
{
    using make_script = fake_backend::script (*)(std::vector<std::string>&);

    explicit reader_fixture(
        keyed_topic_reader::options settings = default_options(),
        make_script script = serve_store)
        : backend(script(this->requested))
        , client(
              this->loop.get_executor(),
              *platform::parse_endpoint(this->backend.address()),
              store_client::options(),
              this->meter)
        , reader(
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
        asio::co_spawn(this->loop, this->reader.run(), asio::detached);
    }

    static keyed_topic_reader::options default_options()
    {
        keyed_topic_reader::options result;
        result.topic = "keyed.servers";
        result.max_age = std::chrono::hours(1);
        return result;
    }

    void run_until_calls(int count)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (this->calls < count && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(std::chrono::milliseconds(100));
        this->loop.poll();
    }

    std::vector<std::string> requested;
    fake_backend backend;
    asio::io_context loop;
    platform::byte_meter meter;
    manual_clock clock;
    store_client client;
    int calls = 0;
    keyed_topic_reader reader;
};

const std::vector<std::string> one_listing{"list"};
const std::vector<std::string> listing_and_read{"list", "read"};

} // namespace

/// Guards against every router reading the store by itself: with 300 VMs, these
/// reads cost a sixth of the earnings.
Test(keyed_topic_reader, a_reader_that_receives_all_updates_does_not_read)
{
    reader_fixture test;
    test.run_until_calls(1);
    for (std::uint64_t next = 0; next < 50; ++next)
        cr_assert_eq(
            test.reader.apply_update(next, {next + 1, 10}).value(), next);
    test.loop.poll();
    cr_assert(test.requested == one_listing);
    cr_assert_eq(test.reader.state().next, 50);
    test.reader.stop();
    test.loop.poll();
}

Test(keyed_topic_reader, missed_records_are_read_at_once)
{
    reader_fixture test;
    test.run_until_calls(1);
    cr_assert(!test.reader.apply_update(1, {2, 10}));
    test.run_until_calls(2);
    cr_assert(test.requested == listing_and_read);
    test.reader.stop();
    test.loop.poll();
}

/// The end of the store's connection ends an answer without a length. If it
/// comes too early, records are missing that the answer has announced.
Test(keyed_topic_reader, an_answer_that_is_cut_between_records_is_continued)
{
    reader_fixture test(reader_fixture::default_options(), cut_first_read);
    test.run_until_calls(1);
    cr_assert(!test.reader.apply_update(1, {2, 10}));
    test.run_until_calls(3);
    cr_assert_eq(test.requested.size(), 3);
    cr_assert_eq(test.reader.state().next, 2);
    test.reader.stop();
    test.loop.poll();
}

Test(keyed_topic_reader, old_data_is_read_again_without_an_update)
{
    keyed_topic_reader::options settings = reader_fixture::default_options();
    settings.max_age = std::chrono::milliseconds(1);
    reader_fixture test(settings);
    test.run_until_calls(1);
    test.clock.time += std::chrono::seconds(1);
    test.run_until_calls(2);
    cr_assert(test.requested == listing_and_read);
    test.reader.stop();
    test.loop.poll();
}

Test(
    keyed_topic_reader,
    a_coalescing_reader_lists_instead_of_reading_missed_records)
{
    keyed_topic_reader::options settings = reader_fixture::default_options();
    settings.coalesce_delay = std::chrono::milliseconds(1);
    reader_fixture test(settings);
    test.run_until_calls(1);
    cr_assert(!test.reader.apply_update(3, {3, 10}));
    test.run_until_calls(2);
    const std::vector<std::string> twice{"list", "list"};
    cr_assert(test.requested == twice);
    test.reader.stop();
    test.loop.poll();
}

Test(keyed_topic_reader, only_the_primary_reader_reads_continuously)
{
    reader_fixture test;
    test.run_until_calls(1);
    test.reader.set_primary_reader(true);
    test.run_until_calls(3);
    test.reader.set_primary_reader(false);
    test.loop.poll();
    cr_assert_geq(test.requested.size(), 3);
    cr_assert_eq(test.requested[1], "read");
    cr_assert_eq(test.requested[2], "read");
    test.reader.stop();
    test.loop.poll();
}

/// Guards against applying every one of ten configurations per second, and
/// against listing the whole record again when nothing new was appended.
Test(keyed_topic_reader, a_coalescing_reader_skips_replaced_records)
{
    std::vector<std::string> requested;
    fake_backend backend(serve_store(requested));
    keyed_topic_reader::options settings;
    settings.topic = "keyed.op";
    settings.coalesce_delay = std::chrono::milliseconds(1);
    const auto values = read_records(settings, backend.address(), 2);
    const std::vector<std::string> newest{"new", "new"};
    cr_assert(values == newest);
    const std::vector<std::string> wanted{"list", "read", "read"};
    cr_assert(requested == wanted);
}

Test(keyed_topic_reader, a_reader_that_does_not_coalesce_reads_every_record)
{
    std::vector<std::string> requested;
    fake_backend backend(serve_store(requested));
    keyed_topic_reader::options settings;
    settings.topic = "keyed.servers";
    const auto values = read_records(settings, backend.address(), 4);
    const std::vector<std::string> all{"old", "new", "old", "new"};
    cr_assert(values == all);
    const std::vector<std::string> wanted{"list", "read", "read"};
    cr_assert(requested == wanted);
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
