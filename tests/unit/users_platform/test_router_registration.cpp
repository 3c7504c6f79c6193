#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_store.hpp"
#include "null_copy_port.hpp"
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
using roseworks::users_platform::tests::null_copy_port;
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

asio::awaitable<void>
read_previous_run(router_registration& registration, previous_run& found)
{
    found = co_await registration.read_previous_run();
}

asio::awaitable<void> write_once(router_registration& registration)
{
    co_await registration.write(false);
}

asio::awaitable<void> read_and_write_twice(router_registration& registration)
{
    co_await registration.read_previous_run();
    co_await registration.write(false);
    co_await registration.write(true);
}

/// Runs a coroutine with a record of this router until it has ended.
void run(
    fake_store& store,
    const std::function<asio::awaitable<void>(router_registration&)>& task)
{
    asio::io_context loop;
    platform::byte_meter meter;
    store_client client(
        loop.get_executor(),
        *platform::parse_endpoint(store.address()),
        store_client::options(),
        meter);
    router_registration registration(
        loop.get_executor(), client, {self, 1ms, 1ms});
    asio::co_spawn(loop, task(registration), asio::detached);
    loop.run();
}

/// Records a tenure and the end of its term, and stops the loop at each.
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
    void ownership_ended() override
    {
        this->released = true;
    }

    void store_unreachable() override {}
    void store_reachable() override {}
    void store_outage_ended(instant) override {}
    void store_outage_refuted() override {}
    void store_read(const directory_update&) override {}

    void tenure_changed(std::optional<placement_tenure> tenure) override
    {
        this->last_tenure = tenure;
        this->loop.stop();
    }

    void term_ended() override
    {
        this->ended = true;
        this->loop.stop();
    }

    asio::io_context& loop;
    std::optional<placement_tenure> last_tenure;
    bool ended = false;
    bool released = false; ///< the other routers may apply
};

store_directory::options options_for(const fake_store& store, duration lease)
{
    store_directory::options settings;
    settings.server = *platform::parse_endpoint(store.address());
    settings.self = self;
    settings.lease = lease;
    return settings;
}

/// One router with its directory, not started.
struct one_router
{
    explicit one_router(const store_directory::options& settings)
        : directory(
              this->loop,
              settings,
              this->clock,
              this->sink,
              this->meter,
              this->copies)
        , listener(this->loop)
    {
    }

    ~one_router()
    {
        this->directory.stop();
    }

    /// Starts while no owner is known.
    void start()
    {
        this->directory.start(this->listener);
        this->directory.set_owner_known(false);
    }

    void run_until_owner()
    {
        this->start();
        this->loop.run();
        cr_assert(this->listener.last_tenure.has_value());
    }

    template <class Reached>
    void run_until(Reached reached)
    {
        while (!reached())
        {
            this->loop.restart();
            this->loop.run_one();
        }
    }

    /// Runs until the store has received some further reads.
    void run_for_reads(const fake_store& store, int count)
    {
        const int until = store.reads() + count;
        this->run_until(
            [&]
            {
                return store.reads() >= until;
            });
    }

    asio::io_context loop;
    platform::byte_meter meter;
    const platform::system_clock clock;
    events::null_event_sink sink;
    null_copy_port copies;
    store_directory directory;
    tenure_listener listener;
};

/// Runs a directory until this router owns placement.
/// @return The calls that the store received.
std::vector<std::string> run_until_owner(fake_store& store, duration lease)
{
    one_router router(options_for(store, lease));
    router.run_until_owner();
    cr_assert_eq(router.listener.last_tenure->fence, 5);
    return store.history();
}

} // namespace

Test(ownership_wait, depends_on_the_previous_run)
{
    using enum previous_run;
    cr_assert_eq(ownership_wait(never_owned, false, 3s), 0s);
    cr_assert_eq(ownership_wait(owned, false, 3s), 3s);
    cr_assert_eq(ownership_wait(unknown, false, 3s), 3s);
    cr_assert_eq(ownership_wait(unknown, true, 3s), 1s);
}

Test(router_registration, a_record_without_the_owned_field_counts_as_owned)
{
    const auto read =
        decode_router("edge-1", R"({"address":"10.0.0.1:7380","capacity":1})");
    cr_assert(read.has_value());
    cr_assert(read->owned);
    cr_assert_eq(read->run, 0);
    cr_assert(!decode_router("edge-1", R"({"address":"here","capacity":1})"));
    cr_assert(!decode_router("edge-1", "[]"));
}

Test(router_registration, reads_the_record_of_the_previous_run)
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
            [&found](router_registration& registration)
            {
                return read_previous_run(registration, found);
            });
        cr_assert(found == expected, "%s", left.c_str());
    }
}

/// Guards against a delayed append that overwrites a later one: the record
/// would then state that this run never owned placement.
Test(
    router_registration,
    an_append_without_an_answer_is_repeated_with_its_number)
{
    fake_store store;
    store.drop_answers(2);
    run(store, read_and_write_twice);
    const std::vector<std::string> expected{
        appended(false, 1), "repeat", "repeat", appended(true, 1)};
    cr_assert(store.history() == expected);
}

Test(router_registration, a_fenced_run_takes_a_higher_number)
{
    fake_store store;
    store.set_writer_run("edge-1", 3);
    run(store, write_once);
    const std::vector<std::string> expected{
        "fenced", "fenced", appended(false, 4)};
    cr_assert(store.history() == expected);
}

/// Guards against a needless wait after all VMs were killed at once. With a
/// lease of one hour, the test times out if the router waits for the lease.
Test(store_directory, a_router_that_never_owned_applies_at_once)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    const std::vector<std::string> expected{
        appended(false, 4), "join", appended(true, 4)};
    cr_assert(run_until_owner(store, std::chrono::hours(1)) == expected);
}

/// Guards against orders of two owners within one lease: the router may have
/// sent orders until it was killed, and another owner may have done so since.
Test(store_directory, a_router_that_owned_applies_after_the_lease)
{
    fake_store store;
    store.put("edge-1", record(true, 3));
    const std::vector<std::string> expected{
        appended(true, 4), appended(false, 4), "join", appended(true, 4)};
    cr_assert(run_until_owner(store, 50ms) == expected);
}

/// The loss of an owner ends the delay between applications, but must not end
/// the wait for the lease.
Test(store_directory, a_router_that_owned_does_not_apply_within_the_lease)
{
    fake_store store;
    store.put("edge-1", record(true, 3));
    one_router router(options_for(store, std::chrono::hours(1)));
    router.directory.start(router.listener);
    while (store.reads() < 6)
    {
        router.directory.set_owner_known(true);
        router.directory.set_owner_known(false);
        router.loop.run_one();
    }
    router.directory.stop();
    const std::vector<std::string> expected{appended(true, 4)};
    cr_assert(store.history() == expected);
    cr_assert(!router.listener.last_tenure.has_value());
}

/// Guards against needless changes of the owner: the store may reassign the
/// ownership whenever a member joins.
Test(store_directory, a_router_does_not_apply_while_there_is_an_owner)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    one_router router(options_for(store, std::chrono::hours(1)));
    router.directory.start(router.listener);
    router.directory.set_owner_known(true);
    router.run_for_reads(store, 6);
    router.directory.stop();
    const std::vector<std::string> expected{appended(false, 4)};
    cr_assert(store.history() == expected);
}

/// The store may refuse the renewals of the owner while it serves the other
/// routers. They have to be notified when they may apply.
Test(store_directory, the_end_of_a_term_without_renewal_is_reported)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store.answer_joins(1);
    store_directory::options settings = options_for(store, 1ms);
    settings.term = 60ms;
    settings.term_margin = 10ms;
    settings.renewal_interval = 10ms;
    one_router router(settings);
    router.start();
    while (!router.listener.ended)
    {
        router.loop.run();
        router.loop.restart();
    }
}

/// Guards against an owner that renews after it was disconnected from the store
/// and replaced: the store reassigned the ownership once more.
Test(store_directory, a_replaced_owner_does_not_renew)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store_directory::options settings = options_for(store, 1ms);
    settings.renewal_interval = 1ms;
    one_router router(settings);
    router.run_until_owner();
    const std::uint64_t fence = router.listener.last_tenure->fence;
    router.directory.other_owner_detected(fence + 1);
    router.directory.set_owner_known(true);
    router.run_for_reads(store, 6);
    router.directory.stop();
    const std::vector<std::string> done = store.history();
    cr_assert_eq(std::ranges::count(done, "join"), 1);
}

/// Guards against an owner that resumes after a process freeze and renews
/// before it receives the update of its successor: the store moved the
/// ownership back and forth.
Test(store_directory, an_owner_waits_before_it_renews_an_expired_term)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store_directory::options settings = options_for(store, 1ms);
    settings.term = 0ms; // expires at once
    settings.term_margin = 0ms;
    settings.renewal_interval = 1ms;
    settings.post_term_wait = std::chrono::hours(1);
    one_router router(settings);
    router.start();
    router.run_until(
        [&]
        {
            return router.listener.ended;
        });
    router.run_for_reads(store, 6);
    router.directory.stop();
    const std::vector<std::string> done = store.history();
    cr_assert_eq(std::ranges::count(done, "join"), 1);
}

/// Guards against an order in flight that arrives after those of the next
/// owner, with the lower fencing token.
Test(store_directory, ownership_is_released_after_the_margin_for_orders)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store.answer_joins(1);
    store_directory::options settings = options_for(store, 1ms);
    settings.term = 1h;
    settings.term_margin = 100ms;
    one_router router(settings);
    router.run_until_owner();
    const instant resigned = router.clock.now();
    router.directory.resign();
    cr_assert_not(router.listener.last_tenure.has_value());
    router.run_until(
        [&]
        {
            return router.listener.released;
        });
    cr_assert(router.clock.now() - resigned >= settings.term_margin);
}

/// Guards against an owner that is cut off from all engines and stays owner.
Test(store_directory, a_router_that_may_not_own_releases_ownership)
{
    fake_store store;
    store.put("edge-1", record(false, 3));
    store_directory::options settings = options_for(store, 1ms);
    settings.renewal_interval = 1ms;
    one_router router(settings);
    router.run_until_owner();
    router.directory.set_may_own(false);
    cr_assert_not(router.listener.last_tenure.has_value());
    router.run_until(
        [&]
        {
            return router.listener.released;
        });
    const std::vector<std::string> before = store.history();
    router.directory.set_owner_known(false);
    router.run_for_reads(store, 6);
    cr_assert(store.history() == before, "it doesn't apply");
    router.directory.set_may_own(true);
    router.run_until(
        [&]
        {
            return router.listener.last_tenure.has_value();
        });
}
