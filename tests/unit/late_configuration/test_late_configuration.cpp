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

/// End and first offset, and no record.
std::string nothing_new()
{
    return std::string(16, '\0');
}

/// Gives the answers it was told to give, one after the other; keeps what was
/// asked.
class scripted_store
{
public:
    void will_answer(unsigned status, const std::string& body)
    {
        const std::scoped_lock lock(this->mutex);
        this->answers.push_back(http(status, body));
    }

    std::vector<std::string> asked()
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
                        }}; ///< last: its threads use the others
};

/// A tail that doesn't read again by itself, and waits an hour after a call
/// that failed.
struct patient_tail
{
    explicit patient_tail(
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

    ~patient_tail()
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

    /// @return Whether it was so before the test would hang.
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
                return this->store.asked().size() >= count;
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

/// Sends an answer in pieces that together take longer than a call may take
/// without a byte.
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

/// Nobody has read the store for a minute.
asio::awaitable<topic_state> old_copy()
{
    co_return topic_state{9, duration(1min).count()};
}

/// The router becomes the owner while a copy comes.
asio::awaitable<topic_state> copy_for_new_owner(keyed_topic_reader& tail)
{
    tail.set_primary_reader(true);
    tail.relist();
    co_return topic_state{9, 10};
}

/// It has owned for a moment when a copy comes.
asio::awaitable<topic_state> copy_for_former_owner(keyed_topic_reader& tail)
{
    tail.set_primary_reader(true);
    tail.relist();
    tail.set_primary_reader(false);
    co_return topic_state{9, 10};
}

/// A tail that is given copies: a test says which, and starts it.
struct copying_tail
{
    explicit copying_tail(std::chrono::milliseconds retry)
        : settings(patient_tail::settings(retry))
        , client(
              this->loop.get_executor(),
              *platform::parse_endpoint(this->store.address()),
              store_client::options(),
              this->meter)
        , told{
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

    ~copying_tail()
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
            this->told);
        asio::co_spawn(this->loop, this->tail->run(), asio::detached);
    }

    /// More than a call and what follows it take.
    void run_turns()
    {
        for (int i = 0; i < 60; ++i)
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
    keyed_topic_reader::handlers told;
    std::vector<std::string> listed;
    std::optional<keyed_topic_reader> tail;
};

} // namespace

/// After a cut the store said that the history was dropped; the pause that the
/// cut had earned was waited for once more.
Test(late_configuration, a_history_that_was_dropped_is_no_lost_store)
{
    patient_tail test;
    test.store.will_answer(200, listing("a", false));
    test.store.will_answer(410, "{}");
    test.store.will_answer(200, listing("b", false));
    test.start();
    cr_assert(test.run_until_listed({"a"}));
    cr_assert(!test.tail.apply_update(5, {5, 10}));
    cr_assert(test.run_until_listed({"a", "b"}), "the listing waits");
    cr_assert_eq(test.failures, 0);
}

/// A router that was cut off heard of a configuration and waited on.
Test(late_configuration, a_word_of_news_ends_the_pause_after_a_failure)
{
    patient_tail test;
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
    cr_assert(test.run_until_calls(3), "the news waits for the pause");
}

/// Three hundred routers that began three thousand entries again at each page
/// that failed kept the store too busy to answer one of them.
Test(late_configuration, a_listing_goes_on_at_the_page_that_failed)
{
    patient_tail test(std::chrono::milliseconds(1));
    test.store.will_answer(200, listing("a", true));
    test.store.will_answer(503, "");
    test.store.will_answer(200, listing("b", false));
    test.start();
    cr_assert(test.run_until_listed({"a", "b"}));
    cr_assert_eq(test.store.asked().size(), 3);
    cr_assert(test.store.asked()[2].ends_with("&after=a"));
}

/// A router became the owner while a copy was on its way to it: without the
/// copies of weights on engines' disks, which routers don't tell each other, it
/// found no engine to load from for as long as it owned.
Test(late_configuration, an_owner_that_was_given_a_copy_lists_what_it_lacks)
{
    copying_tail test(std::chrono::hours(1));
    test.store.will_answer(200, listing("a", false));
    test.told.should_request_copy = [](instant)
    {
        return true;
    };
    test.told.request_copy = [&]
    {
        return copy_for_new_owner(*test.tail);
    };
    test.start();
    cr_assert(test.run_until_listed({"a"}));
}

/// A router lost ownership before the listing that its tenure had begun with
/// was done, and then took copies and asked the store without a pause.
Test(late_configuration, who_no_longer_owns_goes_by_copies)
{
    copying_tail test(std::chrono::hours(1));
    test.refuse_all();
    int copies = 0;
    test.told.request_copy = [&]
    {
        ++copies;
        return copy_for_former_owner(*test.tail);
    };
    test.start();
    test.run_turns();
    cr_assert_eq(copies, 1);
    cr_assert_eq(test.store.asked().size(), 1);
}

/// While the store was down for all, each router asked it and then another
/// router, which knew no more, without a pause.
Test(late_configuration, a_copy_as_old_as_what_is_known_ends_no_pause)
{
    copying_tail test(std::chrono::hours(1));
    test.refuse_all();
    test.told.request_copy = old_copy;
    test.start();
    test.run_turns();
    cr_assert_eq(test.store.asked().size(), 1);
}

/// Through a link of 10 Mbit/s a page took longer than a call might; it was
/// begun again from nothing, for good.
Test(late_configuration, an_answer_that_takes_long_and_goes_on_is_read_whole)
{
    // A server on the client's own loop: what holds one up holds up both.
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
