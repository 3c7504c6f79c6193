#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_store.hpp"
#include "no_copies.hpp"
#include "platform/store_directory.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using roseworks::users_platform::tests::fake_store;
using roseworks::users_platform::tests::no_copies;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

const router_address self{"edge-1", "10.0.0.1:7380", 1};

std::string record(bool owned, std::uint64_t run)
{
    return encode_router({self, owned, run});
}

std::string appended(bool owned, std::uint64_t run)
{
    return "append " + record(owned, run);
}

asio::awaitable<void> read_former(own_record& own, previous_run& found)
{
    found = co_await own.read_former();
}

asio::awaitable<void> write_first(own_record& own)
{
    co_await own.write(false);
}

asio::awaitable<void> read_and_write_twice(own_record& own)
{
    co_await own.read_former();
    co_await own.write(false);
    co_await own.write(true);
}

/// Runs an own record's function to its end.
void run(
    fake_store& store,
    const std::function<asio::awaitable<void>(own_record&)>& task)
{
    asio::io_context loop;
    platform::byte_meter meter;
    store_client client(
        loop.get_executor(),
        *platform::parse_endpoint(store.address()),
        store_client::options(),
        meter);
    own_record own(loop.get_executor(), client, {self, 1ms, 1ms});
    asio::co_spawn(loop, task(own), asio::detached);
    loop.run();
}

/// Hears of a tenure and of its end, and ends the loop then.
class tenure_listener final : public directory_listener
{
public:
    explicit tenure_listener(asio::io_context& context)
        : loop(context)
    {
    }

    void deployment_read(std::shared_ptr<const deployment>) override {}
    void deployment_staleness_changed(bool) override {}
    void servers_listed(std::vector<server_entry>) override {}
    void server_read(server_entry) override {}
    void server_removed(std::string_view) override {}
    void routers_listed(std::vector<router_address>) override {}
    void ownership_ended() override {}
    void store_unreachable() override {}
    void store_reachable() override {}
    void store_recovery_reported() override {}
    void store_read(const directory_word&) override {}

    void tenure_changed(std::optional<placement_tenure> held) override
    {
        this->heard = held;
        this->loop.stop();
    }

    void term_ended() override
    {
        this->ended = true;
        this->loop.stop();
    }

    asio::io_context& loop;
    std::optional<placement_tenure> heard;
    bool ended = false;
};

store_directory::options options_for(const fake_store& store, duration lease)
{
    store_directory::options settings;
    settings.server = *platform::parse_endpoint(store.address());
    settings.self = self;
    settings.lease = lease;
    return settings;
}

/// Runs a directory until it was told of a tenure.
std::vector<std::string> until_owner(fake_store& store, duration lease)
{
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    no_copies copies;
    store_directory directory(
        loop, options_for(store, lease), clock, sink, meter, copies);
    tenure_listener listener(loop);
    directory.start(listener);
    directory.set_owner_known(false);
    loop.run();
    directory.stop();
    cr_assert(listener.heard.has_value());
    cr_assert_eq(listener.heard->fence, 5);
    return store.history();
}

} // namespace

Test(ownership_wait, follows_what_the_run_before_did)
{
    using enum previous_run;
    cr_assert_eq(ownership_wait(never_owned, false, 3s), 0s);
    cr_assert_eq(ownership_wait(owned, false, 3s), 3s);
    cr_assert_eq(ownership_wait(unknown, false, 3s), 3s);
    cr_assert_eq(ownership_wait(unknown, true, 3s), 1s);
}

Test(own_record, an_older_releases_record_counts_as_an_owners)
{
    const auto read =
        decode_router("edge-1", R"({"address":"10.0.0.1:7380","capacity":1})");
    cr_assert(read.has_value());
    cr_assert(read->owned);
    cr_assert_eq(read->run, 0);
    cr_assert(!decode_router("edge-1", R"({"address":"here","capacity":1})"));
    cr_assert(!decode_router("edge-1", "[]"));
}

Test(own_record, tells_what_the_run_before_left)
{
    const std::pair<std::string, previous_run> cases[] = {
        {"", previous_run::unknown},
        {"{", previous_run::unknown},
        {record(false, 3), previous_run::never_owned},
        {record(true, 3), previous_run::owned}};
    for (const auto& [left, expected] : cases)
    {
        fake_store store;
        if (!left.empty())
            store.put("edge-1", left);
        store.put("edge-2", record(true, 9));
        previous_run found = previous_run::unknown;
        run(store,
            [&found](own_record& own)
            {
                return read_former(own, found);
            });
        cr_assert(found == expected, "%s", left.c_str());
    }
}

/// What was sent before must not come after: the record would say that this
/// run never owned.
Test(own_record, a_lost_answer_is_asked_for_again_under_its_number)
{
    fake_store store;
    store.lose_answers(2);
    run(store, read_and_write_twice);
    const std::vector<std::string> expected{
        appended(false, 1), "repeat", "repeat", appended(true, 1)};
    cr_assert(store.history() == expected);
}

Test(own_record, a_run_that_is_not_the_last_seen_takes_a_higher_number)
{
    fake_store store;
    store.seen_run("edge-1", 3);
    run(store, write_first);
    const std::vector<std::string> expected{
        "fenced", "fenced", appended(false, 4)};
    cr_assert(store.history() == expected);
}

/// All VMs were killed at once: with an hour's lease this test would not end
/// if the router waited for it.
Test(store_directory, a_router_that_never_owned_applies_at_once)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    const std::vector<std::string> expected{
        appended(false, 4), "join", appended(true, 4)};
    cr_assert(until_owner(store, std::chrono::hours(1)) == expected);
}

/// It may have ordered engines until it was killed, and another owner since.
Test(store_directory, a_router_that_owned_applies_after_the_lease)
{
    fake_store store;
    store.put("edge-1", record(true, 3));
    const std::vector<std::string> expected{
        appended(true, 4), appended(false, 4), "join", appended(true, 4)};
    cr_assert(until_owner(store, 50ms) == expected);
}

/// Missing an owner ends the pauses between applications, but not this wait.
Test(store_directory, a_router_that_owned_does_not_apply_within_the_lease)
{
    fake_store store;
    store.put("edge-1", record(true, 3));
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    no_copies copies;
    store_directory directory(
        loop,
        options_for(store, std::chrono::hours(1)),
        clock,
        sink,
        meter,
        copies);
    tenure_listener listener(loop);
    directory.start(listener);
    while (store.reads() < 6)
    {
        directory.set_owner_known(true);
        directory.set_owner_known(false);
        loop.run_one();
    }
    directory.stop();
    const std::vector<std::string> expected{appended(true, 4)};
    cr_assert(store.history() == expected);
    cr_assert(!listener.heard.has_value());
}

/// The store may move the ownership when it learns of a member.
Test(store_directory, nobody_applies_while_an_owner_is_heard)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    no_copies copies;
    store_directory directory(
        loop,
        options_for(store, std::chrono::hours(1)),
        clock,
        sink,
        meter,
        copies);
    tenure_listener listener(loop);
    directory.start(listener);
    directory.set_owner_known(true);
    while (store.reads() < 6)
        loop.run_one();
    directory.stop();
    const std::vector<std::string> expected{appended(false, 4)};
    cr_assert(store.history() == expected);
}

/// A store that turns its owner away, and serves the others: they are to know
/// when they may apply.
Test(store_directory, the_end_of_a_term_that_is_not_renewed_is_told)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store.answer_joins(1);
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    store_directory::options settings = options_for(store, 1ms);
    settings.term = 60ms;
    settings.term_margin = 10ms;
    settings.renewal = 10ms;
    no_copies copies;
    store_directory directory(loop, settings, clock, sink, meter, copies);
    tenure_listener listener(loop);
    directory.start(listener);
    directory.set_owner_known(false);
    while (!listener.ended)
    {
        loop.run();
        loop.restart();
    }
    directory.stop();
}

/// Cut off from the store for a while, the owner before renewed when it was
/// back, and the store moved the ownership once more.
Test(store_directory, an_owner_that_another_followed_does_not_renew)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    store_directory::options settings = options_for(store, 1ms);
    settings.renewal = 1ms;
    no_copies copies;
    store_directory directory(loop, settings, clock, sink, meter, copies);
    tenure_listener listener(loop);
    directory.start(listener);
    directory.set_owner_known(false);
    loop.run();
    loop.restart();
    directory.other_owner_detected(listener.heard->fence + 1);
    directory.set_owner_known(true);
    const int seen = store.reads();
    while (store.reads() < seen + 6)
        loop.run_one();
    directory.stop();
    const std::vector<std::string> done = store.history();
    cr_assert_eq(std::ranges::count(done, "join"), 1);
}

/// Woken from a freeze, an owner renewed before it heard of the one after it,
/// and the store moved the ownership back and forth.
Test(store_directory, an_owner_whose_term_has_ended_listens_before_it_renews)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    store_directory::options settings = options_for(store, 1ms);
    settings.term = 0ms; // over as soon as it was given
    settings.term_margin = 0ms;
    settings.renewal = 1ms;
    settings.listening = std::chrono::hours(1);
    no_copies copies;
    store_directory directory(loop, settings, clock, sink, meter, copies);
    tenure_listener listener(loop);
    directory.start(listener);
    directory.set_owner_known(false);
    const auto run_on = [&](auto reached)
    {
        while (!reached())
        {
            loop.restart();
            loop.run_one();
        }
    };
    run_on(
        [&]
        {
            return listener.ended;
        });
    const int seen = store.reads();
    run_on(
        [&]
        {
            return store.reads() >= seen + 6;
        });
    directory.stop();
    const std::vector<std::string> done = store.history();
    cr_assert_eq(std::ranges::count(done, "join"), 1);
}
