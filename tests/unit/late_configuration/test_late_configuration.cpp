#include "adapters/platform/system_clock.hpp"
#include "fake_backend.hpp"
#include "platform/keyed_topic_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

std::string http(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string listing(const std::string& key, bool has_more)
{
    return R"({"items":[{"key":")" + key +
           R"(","value":"eA==","offset":0}],"end":1,"has_more":)" +
           (has_more ? "true" : "false") + "}";
}

/// An answer with the end and first offset and no records.
std::string nothing_new()
{
    return std::string(16, '\0');
}

/// Returns scripted answers in order and records the requests.
class scripted_store
{
public:
    void will_answer(unsigned status, const std::string& body)
    {
        const std::scoped_lock lock(this->mutex);
        this->answers.push_back(http(status, body));
    }

    std::vector<std::string> requests()
    {
        const std::scoped_lock lock(this->mutex);
        return this->calls;
    }

    std::string address() const
    {
        return this->server.address();
    }

private:
    void serve(backend_peer& peer)
    {
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            const std::string answer = this->answer(request);
            if (answer.empty())
                return;
            peer.send(answer);
        }
    }

    std::string answer(const std::string& request)
    {
        const std::scoped_lock lock(this->mutex);
        this->calls.push_back(request.substr(4, request.find(" HTTP") - 4));
        if (this->answers.empty())
            return {};
        const std::string next = this->answers.front();
        this->answers.pop_front();
        return next;
    }

    std::mutex mutex;
    std::deque<std::string> answers;
    std::vector<std::string> calls;
    fake_backend server{[this](backend_peer& peer)
                        {
                            this->serve(peer);
                        }}; ///< declared last: its threads use the others
};

/// A tail that does not read periodically, and by default waits an hour after a
/// failed call.
struct tail_fixture
{
    explicit tail_fixture(
        std::chrono::milliseconds retry = std::chrono::hours(1))
        : client(
              this->loop.get_executor(),
              *platform::parse_endpoint(this->store.address()),
              store_client::options(),
              this->meter)
        , tail(
              this->loop.get_executor(),
              this->clock,
              this->client,
              settings(retry),
              {[this](const std::vector<keyed_record>& all)
               {
                   for (const keyed_record& record : all)
                       this->listed.push_back(record.key);
               },
               [](const keyed_record&) {},
               [this](bool answered)
               {
                   this->failures += answered ? 0 : 1;
               }})
    {
    }

    ~tail_fixture()
    {
        this->tail.stop();
        this->loop.poll();
    }

    static keyed_topic_reader::options settings(std::chrono::milliseconds retry)
    {
        keyed_topic_reader::options made;
        made.topic = "keyed.op";
        made.retry_delay = retry;
        made.max_retry_delay = retry;
        made.max_age = std::chrono::hours(1);
        return made;
    }

    void start()
    {
        asio::co_spawn(this->loop, this->tail.run(), asio::detached);
    }

    /// Runs the event loop until a condition holds, or for 20 s at most.
    /// @return Whether the condition holds.
    template <class Reached>
    bool run_until(Reached reached)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!reached() && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(std::chrono::milliseconds(50));
        return reached();
    }

    bool run_until_calls(std::size_t count)
    {
        return this->run_until(
            [&]
            {
                return this->store.requests().size() >= count;
            });
    }

    bool run_until_listed(const std::vector<std::string>& keys)
    {
        return this->run_until(
            [&]
            {
                return this->listed == keys;
            });
    }

    scripted_store store;
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    store_client client;
    std::vector<std::string> listed;
    int failures = 0;
    keyed_topic_reader tail;
};

/// Sends an answer in pieces. In total this takes longer than a call may go
/// without receiving a byte.
asio::awaitable<void>
send_slowly(asio::ip::tcp::acceptor& acceptor, std::string_view whole)
{
    constexpr std::size_t pieces = 25;
    const std::size_t size = whole.size() / pieces + 1;
    asio::ip::tcp::socket socket =
        co_await acceptor.async_accept(asio::use_awaitable);
    asio::steady_timer pause(acceptor.get_executor());
    while (!whole.empty())
    {
        const std::string_view piece = whole.substr(0, size);
        co_await asio::async_write(
            socket, asio::buffer(piece), asio::use_awaitable);
        whole.remove_prefix(piece.size());
        pause.expires_after(100ms);
        co_await pause.async_wait(asio::use_awaitable);
    }
}

/// A copy from a router that last read the store a minute ago.
asio::awaitable<topic_state> old_copy()
{
    co_return topic_state{9, duration(1min).count()};
}

/// The router becomes the owner while it receives a copy.
asio::awaitable<topic_state> copy_for_new_owner(keyed_topic_reader& tail)
{
    tail.set_primary_reader(true);
    tail.relist();
    co_return topic_state{9, 10};
}

/// The router becomes the owner and loses ownership while it receives a copy.
asio::awaitable<topic_state> copy_for_former_owner(keyed_topic_reader& tail)
{
    tail.set_primary_reader(true);
    tail.relist();
    tail.set_primary_reader(false);
    co_return topic_state{9, 10};
}

/// A tail that receives copies. The test sets the handlers and starts it.
struct copying_tail_fixture
{
    explicit copying_tail_fixture(std::chrono::milliseconds retry)
        : settings(tail_fixture::settings(retry))
        , client(
              this->loop.get_executor(),
              *platform::parse_endpoint(this->store.address()),
              store_client::options(),
              this->meter)
        , tail_handlers{
              [this](const std::vector<keyed_record>& all)
              {
                  for (const keyed_record& record : all)
                      this->listed.push_back(record.key);
              },
              [](const keyed_record&) {},
              [](bool) {}}
    {
        this->settings.topic = "keyed.servers";
        this->settings.copies_before_store = true;
        this->settings.max_age = 1s;
    }

    ~copying_tail_fixture()
    {
        this->tail->stop();
        this->loop.poll();
    }

    void refuse_all()
    {
        for (int i = 0; i < 50; ++i)
            this->store.will_answer(503, "");
    }

    void start()
    {
        this->tail.emplace(
            this->loop.get_executor(),
            this->clock,
            this->client,
            this->settings,
            this->tail_handlers);
        asio::co_spawn(this->loop, this->tail->run(), asio::detached);
    }

    /// Runs the event loop for longer than a call and its follow-up take.
    void run_for_a_while()
    {
        for (int i = 0; i < 60; ++i)
            this->loop.run_one_for(std::chrono::milliseconds(10));
    }

    template <class Condition>
    void run_until(Condition holds)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!holds() && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(std::chrono::milliseconds(10));
    }

    bool run_until_listed(const std::vector<std::string>& keys)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (this->listed != keys && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(std::chrono::milliseconds(50));
        return this->listed == keys;
    }

    scripted_store store;
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    keyed_topic_reader::options settings;
    store_client client;
    keyed_topic_reader::handlers tail_handlers;
    std::vector<std::string> listed;
    std::optional<keyed_topic_reader> tail;
};

} // namespace

/// After a disconnection the store answered that the history was trimmed. The
/// tail took this for another failure and waited for the retry pause again.
Test(late_configuration, a_trimmed_history_is_not_a_store_failure)
{
    tail_fixture test;
    test.store.will_answer(200, listing("a", false));
    test.store.will_answer(410, "{}");
    test.store.will_answer(200, listing("b", false));
    test.start();
    cr_assert(test.run_until_listed({"a"}));
    cr_assert(!test.tail.apply_update(5, {5, 10}));
    cr_assert(
        test.run_until_listed({"a", "b"}),
        "the listing waited for the retry pause");
    cr_assert_eq(test.failures, 0);
}

/// A router that had been disconnected received an announcement of a newer
/// configuration, but still waited for the end of its retry pause.
Test(late_configuration, an_announcement_ends_the_pause_after_a_failure)
{
    tail_fixture test;
    test.store.will_answer(200, listing("a", false));
    test.store.will_answer(503, "");
    test.store.will_answer(200, nothing_new());
    test.start();
    cr_assert(test.run_until_listed({"a"}));
    cr_assert(!test.tail.apply_update(5, {5, 10}));
    cr_assert(test.run_until(
        [&]
        {
            return test.failures == 1;
        }));
    cr_assert(!test.tail.apply_update(6, {6, 10}));
    cr_assert(
        test.run_until_calls(3),
        "the announced configuration was not read before the retry pause");
}

/// When a page of a listing failed, 300 routers started their listings of 3000
/// entries over. This kept the store too busy to answer any of them.
Test(late_configuration, a_listing_resumes_at_the_page_that_failed)
{
    tail_fixture test(std::chrono::milliseconds(1));
    test.store.will_answer(200, listing("a", true));
    test.store.will_answer(503, "");
    test.store.will_answer(200, listing("b", false));
    test.start();
    cr_assert(test.run_until_listed({"a", "b"}));
    cr_assert_eq(test.store.requests().size(), 3);
    cr_assert(test.store.requests()[2].ends_with("&after=a"));
}

/// A router became the owner while a copy was in transit to it. Copies between
/// routers do not list the weights on the engines' disks, so the new owner
/// found no engine to load models from during its whole tenure.
Test(late_configuration, an_owner_lists_the_store_after_receiving_a_copy)
{
    copying_tail_fixture test(std::chrono::hours(1));
    test.store.will_answer(200, listing("a", false));
    test.tail_handlers.should_request_copy = [](instant)
    {
        return true;
    };
    test.tail_handlers.request_copy = [&](instant)
    {
        return copy_for_new_owner(*test.tail);
    };
    test.start();
    cr_assert(test.run_until_listed({"a"}));
}

/// A router lost ownership before the first listing of its tenure was complete.
/// It then requested copies and read the store in a loop without a pause.
Test(late_configuration, a_former_owner_relies_on_copies)
{
    copying_tail_fixture test(std::chrono::hours(1));
    test.refuse_all();
    int copies = 0;
    test.tail_handlers.request_copy = [&](instant)
    {
        ++copies;
        return copy_for_former_owner(*test.tail);
    };
    test.start();
    test.run_until(
        [&]
        {
            return copies > 0;
        });
    test.run_for_a_while();
    cr_assert_eq(copies, 1);
    cr_assert_eq(test.store.requests().size(), 1);
}

/// While the store was down for all routers, each of them called the store and
/// then another router, which had no newer data, in a loop without a pause.
Test(late_configuration, a_copy_without_newer_data_does_not_end_the_pause)
{
    copying_tail_fixture test(std::chrono::hours(1));
    test.refuse_all();
    test.tail_handlers.request_copy = [](instant)
    {
        return old_copy();
    };
    test.start();
    test.run_until(
        [&]
        {
            return !test.store.requests().empty();
        });
    test.run_for_a_while();
    cr_assert_eq(test.store.requests().size(), 1);
}

/// Over a link of 10 Mbit/s a page took longer than the time limit of a call,
/// so it was requested again from its start, without end.
Test(late_configuration, a_slow_answer_that_makes_progress_is_read_completely)
{
    // The server runs on the event loop of the client, so that a delay of one
    // delays the other, too.
    const std::string whole = http(200, listing("a", false));
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(
        loop, {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(loop, send_slowly(acceptor, whole), asio::detached);
    platform::byte_meter meter;
    store_client::options settings;
    settings.call_timeout = std::chrono::milliseconds(2000);
    store_client client(
        loop.get_executor(), acceptor.local_endpoint(), settings, meter);
    keyed_page page;
    asio::co_spawn(
        loop,
        client.list_newest("keyed.op", ""),
        [&](const std::exception_ptr&, keyed_page got)
        {
            page = std::move(got);
        });
    loop.run();
    cr_assert(page.outcome == store_outcome::answered);
    cr_assert_eq(page.records.size(), 1);
}
