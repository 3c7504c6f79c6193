#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "fake_backend.hpp"
#include "manual_clock.hpp"
#include "platform/router_registration.hpp"
#include "platform/store_directory.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::users_platform;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
using roseworks::users_platform::tests::manual_clock;
namespace asio = boost::asio;

namespace
{

std::string http(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string base64(const std::string& text)
{
    namespace coder = boost::beast::detail::base64;
    std::string result(coder::encoded_size(text.size()), '\0');
    result.resize(coder::encode(result.data(), text.data(), text.size()));
    return result;
}

/// A store that lists the routers and refuses all other reads.
class refusing_store
{
public:
    explicit refusing_store(int stronger)
        : others(stronger)
    {
    }

    std::string address() const
    {
        return this->server.address();
    }

    std::atomic<int> refused{0};
    const int others; ///< listed routers with higher capacity

private:
    void serve(backend_peer& peer)
    {
        while (true)
        {
            const std::string request = peer.read_request();
            if (request.empty())
                return;
            peer.send(this->answer(request));
        }
    }

    std::string answer(const std::string& request)
    {
        if (request.starts_with("POST"))
            return http(200, R"({"offset":0,"end":1})");
        if (request.find("topic=keyed.routers") == std::string::npos)
        {
            ++this->refused;
            return http(503, "");
        }
        std::string items;
        for (int i = 0; i < this->others; ++i)
        {
            const std::string name = "edge-0" + std::to_string(i);
            const std::string other =
                encode_router({{name, "10.0.0.9:1", 9}, false, 1});
            items += items.empty() ? "" : ",";
            items += R"({"key":")" + name + R"(","value":")" + base64(other) +
                     R"(","offset":0})";
        }
        return http(
            200, R"({"items":[)" + items + R"(],"end":1,"has_more":false})");
    }

    fake_backend server{[this](backend_peer& peer)
                        {
                            this->serve(peer);
                        }};
};

/// Another router that provides copies of all topics.
class fake_copy_port final : public directory_copy_port
{
public:
    void serve(directory_copy_source&) override {}

    void fetch(
        std::string_view address,
        const copy_request& request,
        copy_done done) override
    {
        this->requested.emplace_back(address);
        if (!this->provides)
        {
            done(std::nullopt);
            return;
        }
        directory_copy copy;
        copy.state = {this->next, 0};
        const bool is_newer = !request.knows_any || this->next > request.next;
        if (is_newer && request.topic == directory_topic::deployment)
            copy.configuration = R"({"version":)" +
                                 std::to_string(this->version) +
                                 R"(,"routes":[],"services":[]})";
        if (is_newer && request.topic == directory_topic::registry)
        {
            registry_change change{2, registry_change::kind::whole, {}};
            change.entry.id = "i-1";
            change.entry.holdings.copies_known = false;
            copy.servers.push_back(change);
        }
        done(copy);
    }

    void data_changed() override {}
    void stop() override {}

    bool provides = true;
    std::uint64_t next = 5;
    int version = 7;
    std::vector<std::string> requested;
};

class recording_listener final : public directory_listener
{
public:
    void deployment_read(std::shared_ptr<const deployment> read) override
    {
        this->version = read->version;
    }

    void deployment_staleness_changed(bool behind) override
    {
        this->behind.push_back(behind);
    }
    void servers_listed(std::vector<server_entry> all) override
    {
        this->servers = std::move(all);
    }

    void server_read(server_entry) override {}
    void server_removed(std::string_view) override {}
    void routers_listed(std::vector<router_address>) override {}
    void tenure_changed(std::optional<placement_tenure>) override {}
    void ownership_ended() override {}
    void term_ended() override {}
    void store_unreachable() override {}
    void store_reachable() override {}
    void store_outage_ended(instant) override {}
    void store_outage_refuted() override {}
    void store_read(const directory_update&) override {}

    std::uint64_t version = 0;
    std::vector<bool> behind;
    std::vector<server_entry> servers;
};

const platform::system_clock real_clock;

struct directory_fixture
{
    explicit directory_fixture(
        const clock_port& clock = real_clock, int others = 1)
        : store(others)
        , directory(
              this->loop,
              settings(),
              clock,
              this->sink,
              this->meter,
              this->copies)
    {
        this->directory.start(this->listener);
        this->directory.set_owner_known(true);
    }

    ~directory_fixture()
    {
        this->directory.stop();
        this->loop.poll();
    }

    store_directory::options settings() const
    {
        store_directory::options result;
        result.server = *platform::parse_endpoint(this->store.address());
        result.self = {"edge-1", "10.0.0.1:7380", 1};
        return result;
    }

    template <class Reached>
    void run_until(Reached reached)
    {
        while (!reached())
            this->loop.run_one();
    }

    refusing_store store;
    asio::io_context loop;
    platform::byte_meter meter;
    events::null_event_sink sink;
    recording_listener listener;
    fake_copy_port copies;
    store_directory directory;
};

} // namespace

/// Guards against a router that kept an old configuration for as long as the
/// store refused its reads.
Test(directory_copies, topics_that_the_store_refuses_are_copied_from_a_router)
{
    directory_fixture test;
    test.run_until(
        [&]
        {
            return test.listener.version == 7 && !test.listener.servers.empty();
        });
    cr_assert_eq(test.copies.requested.front(), "10.0.0.9:1");
    cr_assert_eq(test.listener.servers.front().registry_revision, 2);
    cr_assert(!test.listener.servers.front().holdings.copies_known);
}

Test(directory_copies, an_announced_configuration_is_copied_at_once)
{
    directory_fixture test;
    test.run_until(
        [&]
        {
            return test.listener.version == 7;
        });
    test.copies.next = 6;
    test.copies.version = 8;
    directory_update update;
    update.deployment = {6, 10};
    test.directory.apply_peer_update(update);
    test.run_until(
        [&]
        {
            return test.listener.version == 8 &&
                   test.listener.behind.size() == 2;
        });
    cr_assert(test.listener.behind[0]);
    cr_assert(!test.listener.behind[1]);
}

/// Guards against a copy from a router with outdated data, for example after a
/// network partition: it would restore servers that were removed since.
Test(directory_copies, a_copy_older_than_the_known_data_is_ignored)
{
    directory_fixture test;
    test.run_until(
        [&]
        {
            return test.listener.version == 7 && !test.listener.servers.empty();
        });
    test.listener.servers.clear();
    test.copies.next = 4;
    test.copies.version = 9;
    const std::size_t before = test.copies.requested.size();
    directory_update update;
    update.deployment = {6, 10};
    update.registry = {8, 10};
    update.registry_from = 7;
    test.directory.apply_peer_update(update);
    test.run_until(
        [&]
        {
            return test.copies.requested.size() > before + 6;
        });
    cr_assert_eq(test.listener.version, 7);
    cr_assert(test.listener.servers.empty());
}

Test(directory_copies, a_router_provides_copies_of_its_topics)
{
    directory_fixture test;
    cr_assert(!test.directory.copy_for({directory_topic::registry, false, 0}));
    test.run_until(
        [&]
        {
            return test.listener.version == 7 && !test.listener.servers.empty();
        });
    test.loop.poll();
    const auto registry =
        test.directory.copy_for({directory_topic::registry, false, 0});
    cr_assert_eq(registry->state.next, 5);
    cr_assert_eq(registry->servers.size(), 1);
    const auto newest =
        test.directory.copy_for({directory_topic::deployment, true, 4});
    cr_assert(newest->configuration.starts_with(R"({"version":7)"));
    const auto nothing_new =
        test.directory.copy_for({directory_topic::deployment, true, 5});
    cr_assert(nothing_new->configuration.empty());
    cr_assert(!test.directory.copy_for({directory_topic(9), false, 0}));
}

/// Guards against every router reading the whole configuration from the store
/// after each change.
Test(directory_copies, a_new_configuration_is_requested_from_routers_first)
{
    manual_clock clock;
    directory_fixture test(clock, 5);
    test.run_until(
        [&]
        {
            return test.listener.version == 7 && !test.listener.servers.empty();
        });
    test.copies.provides = false;
    const int refused = test.store.refused;
    const std::size_t requested = test.copies.requested.size();
    directory_update update;
    update.deployment = {6, 10};
    test.directory.apply_peer_update(update);
    test.run_until(
        [&]
        {
            return test.copies.requested.size() > requested + 5;
        });
    cr_assert_eq(test.store.refused, refused);
    clock.time += store_directory::options().config_fetch.last_resort;
    test.run_until(
        [&]
        {
            return test.store.refused > refused;
        });
}

/// Few routers read the store when no router provides a new configuration, and
/// they do so before the time limit for a new version is near.
Test(directory_copies, a_router_of_the_highest_capacity_reads_the_store_early)
{
    manual_clock clock;
    directory_fixture test(clock, 3);
    test.run_until(
        [&]
        {
            return test.listener.version == 7;
        });
    const int refused = test.store.refused;
    directory_update update;
    update.deployment = {6, 10};
    test.copies.provides = false;
    test.directory.apply_peer_update(update);
    const std::size_t requested = test.copies.requested.size();
    test.run_until(
        [&]
        {
            return test.copies.requested.size() > requested + 3;
        });
    cr_assert_eq(test.store.refused, refused);
    const auto timing = store_directory::options().config_fetch;
    const duration early = timing.store_delay + 3 * timing.store_interval;
    cr_assert(early < timing.last_resort);
    clock.time += early;
    test.run_until(
        [&]
        {
            return test.store.refused > refused;
        });
}

/// Guards against a router that was cut off from all others and from the store,
/// and answered 404 by an old configuration.
Test(directory_copies, a_router_that_confirms_nothing_knows_that_it_is_outdated)
{
    manual_clock clock;
    directory_fixture test(clock, 5);
    test.run_until(
        [&]
        {
            return test.listener.version == 7;
        });
    cr_assert(test.listener.behind.empty() || !test.listener.behind.back());
    test.copies.provides = false;
    clock.time += store_directory::options().config_max_unconfirmed;
    directory_update update; // of a router that knows nothing
    test.directory.apply_peer_update(update);
    cr_assert(test.listener.behind.back());
    update.deployment = {5, 10};
    test.directory.apply_peer_update(update);
    cr_assert_not(test.listener.behind.back());
}
