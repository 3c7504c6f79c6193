#include "adapters/events/null_event_sink.hpp"
#include "adapters/platform/system_clock.hpp"
#include "app/gateway/crash_controller.hpp"
#include "fake_opinions.hpp"
#include "null_peers.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::app;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr fingerprint bad(7);

/// Records the reports that are sent.
class recording_peers final : public roseworks::testing::null_peers
{
public:
    using null_peers::send;

    void send(
        std::span<const std::string> addresses,
        const crash_report& report) override
    {
        this->recipients.insert(
            this->recipients.end(), addresses.begin(), addresses.end());
        this->reports.push_back(report);
    }

    std::vector<std::string> recipients;
    std::vector<crash_report> reports;
};

server_entry
make_entry(std::string id, std::string address, std::int64_t born_ms = 1)
{
    server_entry entry;
    entry.id = std::move(id);
    entry.born_ms = born_ms;
    entry.service = "app";
    entry.address = std::move(address);
    entry.slots = 8;
    return entry;
}

/// @return An address at which connections are refused.
std::string refusing_address()
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// An archive in memory.
class memory_archive final : public crash_archive_port
{
public:
    void read(std::function<void(std::vector<archived_block>)> on_read) override
    {
        std::vector<archived_block> all;
        for (const auto& [subject, block] : this->blocks)
            all.push_back(block);
        on_read(std::move(all));
    }

    void write(const archived_block& block) override
    {
        this->blocks[block.subject] = block;
    }

    void remove(std::uint64_t subject) override
    {
        this->blocks.erase(subject);
    }

    void stop() override {}

    std::map<std::uint64_t, archived_block> blocks; ///< by subject
};

struct one_router
{
    one_router()
        : view({})
        , controller(
              this->loop,
              {.router = "r"},
              this->clock,
              this->events,
              this->peers,
              this->archive,
              this->opinions,
              this->view,
              [this]
              {
                  ++this->blocks;
              })
    {
        const router_address routers[] = {
            {"r", "10.0.0.9:1", 1}, {"other", "10.0.0.8:1", 1}};
        this->controller.routers_listed(routers);
    }

    ~one_router()
    {
        this->controller.stop();
        this->loop.poll();
    }

    void list(std::vector<server_entry> all)
    {
        this->view.entries_listed(std::move(all), this->clock.now());
        this->controller.servers_changed();
    }

    void read(server_entry entry)
    {
        this->view.entry_read(std::move(entry));
        this->controller.servers_changed();
    }

    /// Ends a run on a server in silence, so that only the registry can show
    /// that the server has ended.
    void break_run(const std::string& server, std::int64_t born_ms = 1)
    {
        this->controller.run_broken(
            {{bad, {}, {}, {}},
             life_of(server, born_ms),
             "10.0.0.1:80",
             run_end::silence});
        this->loop.poll();
    }

    /// Breaks a run on each of some servers that refuse this router's
    /// connections, and waits until the other routers have been asked.
    void break_connections(int servers)
    {
        for (int i = 1; i <= servers; ++i)
            this->controller.run_broken(
                {{bad, {}, {}, {}},
                 life_of("e" + std::to_string(i), 1),
                 refusing_address(),
                 run_end::connection});
        const auto all_asked = [&]
        {
            return this->opinions.asked.size() ==
                   static_cast<std::size_t>(servers);
        };
        cr_assert(this->run_until(all_asked));
        this->loop.poll();
    }

    bool blocks_request() const
    {
        return this->controller.blocked()->blocked_until.contains(bad);
    }

    template <class Done>
    bool run_until(Done done)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!done() && std::chrono::steady_clock::now() < limit)
            this->loop.run_one_for(10ms);
        return done();
    }

    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        loop_guard{this->loop.get_executor()};
    platform::system_clock clock;
    events::null_event_sink events;
    recording_peers peers;
    memory_archive archive;
    roseworks::testing::fake_opinions opinions{this->loop};
    serving_view view;
    int blocks = 0;
    crash_controller controller;
};

} // namespace

Test(crash_controller, a_server_that_refuses_several_routers_has_ended)
{
    one_router test;
    test.opinions.opinion = reach_opinion::refused;
    for (const char* server : {"e1", "e2"})
        test.controller.run_broken(
            {{bad, {}, {}, {}},
             life_of(server, 1),
             refusing_address(),
             run_end::connection});
    cr_assert(test.run_until(
        [&]
        {
            return test.blocks_request();
        }));
    cr_assert_eq(test.blocks, 1);
    cr_assert_eq(test.peers.recipients.at(0), "10.0.0.8:1");
    cr_assert_eq(test.peers.reports.at(0).crashes.at(0).request, bad.value);
    cr_assert_eq(
        test.peers.reports.at(0).crashes.at(0).evidence,
        crash_evidence::refused);
}

// Guards against blocking requests because the network refuses the connections
// of one router.
Test(crash_controller, servers_that_another_router_reaches_have_not_ended)
{
    one_router test;
    test.opinions.opinion = reach_opinion::reached;
    test.break_connections(4);
    cr_assert(test.controller.blocked()->suspects.empty());
    cr_assert_not(test.blocks_request());
}

Test(crash_controller, a_refusal_that_no_other_router_confirms_proves_nothing)
{
    one_router test;
    test.break_connections(2);
    for (const crash_report& report : test.peers.reports)
        for (const crash_record& record : report.crashes)
            cr_assert_not(is_proof(record.evidence));
    cr_assert_not(test.blocks_request());
}

Test(crash_controller, a_server_that_accepts_a_connection_has_not_ended)
{
    one_router test;
    tcp::acceptor acceptor(
        test.loop,
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    int accepted = 0;
    tcp::socket socket(test.loop);
    acceptor.async_accept(
        socket,
        [&](const boost::system::error_code& error)
        {
            accepted += error ? 0 : 1;
        });
    test.controller.run_broken(
        {{bad, {}, {}, {}}, life_of("e1", 1), address, run_end::connection});
    cr_assert(test.run_until(
        [&]
        {
            return accepted == 1;
        }));
    cr_assert(test.controller.blocked()->suspects.empty());
}

Test(crash_controller, servers_missing_from_a_listing_have_ended)
{
    one_router test;
    test.list(
        {make_entry("e1", "10.0.0.1:80"), make_entry("e2", "10.0.0.2:80")});
    test.break_run("e1");
    test.break_run("e2");
    cr_assert(test.controller.blocked()->suspects.empty());
    test.list({make_entry("e3", "10.0.0.3:80")});
    cr_assert(test.blocks_request());
}

Test(crash_controller, a_listing_with_other_start_times_shows_ended_lives)
{
    one_router test;
    test.list({make_entry("e1", "10.0.0.1:80", 1)});
    test.break_run("e1", 1);
    test.list({make_entry("e1", "10.0.0.1:80", 2)});
    cr_assert_not(test.blocks_request());
    test.break_run("e1", 2);
    test.list({make_entry("e1", "10.0.0.1:80", 3)});
    cr_assert(test.blocks_request());
}

Test(crash_controller, a_server_is_over_when_another_one_has_its_address)
{
    one_router test;
    for (const char* server : {"e1", "e2"})
    {
        server_entry before = make_entry(server, "10.0.0.1:80");
        before.registry_revision = 1;
        test.list({before});
        test.break_run(server);
        server_entry next = make_entry("next", "10.0.0.1:80");
        next.registry_revision = 2;
        test.read(next);
    }
    cr_assert(test.blocks_request());
}

/// Guards against routers that all end at one moment and forget what crashes
/// servers.
Test(crash_controller, a_block_that_is_archived_is_in_force_after_a_start)
{
    one_router before;
    before.opinions.opinion = reach_opinion::refused;
    before.break_connections(2);
    cr_assert(before.run_until(
        [&]
        {
            return !before.archive.blocks.empty();
        }));
    one_router after;
    after.archive.blocks = before.archive.blocks;
    cr_assert_not(after.blocks_request());
    after.controller.start();
    cr_assert(after.blocks_request());
}

Test(crash_controller, a_cleared_block_leaves_the_archive)
{
    one_router test;
    test.opinions.opinion = reach_opinion::refused;
    test.break_connections(2);
    cr_assert(test.run_until(
        [&]
        {
            return !test.archive.blocks.empty();
        }));
    test.controller.run_answered(bad);
    test.loop.poll();
    cr_assert(test.archive.blocks.empty());
}

Test(crash_controller, crashes_that_other_routers_report_block_at_once)
{
    one_router test;
    crash_report report;
    report.router = "other";
    report.crashes = {
        {bad.value, 1, 0, crash_evidence::refused, false},
        {bad.value, 2, 0, crash_evidence::removed, false}};
    test.controller.report_received(report, "10.0.0.8:1");
    cr_assert(test.blocks_request());
    cr_assert_eq(test.blocks, 1);
}

Test(crash_controller, a_request_that_ran_well_is_no_longer_blocked_anywhere)
{
    one_router test;
    crash_report report;
    report.crashes = {
        {bad.value, 1, 0, crash_evidence::refused, false},
        {bad.value, 2, 0, crash_evidence::removed, false}};
    test.controller.report_received(report, "10.0.0.8:1");
    test.controller.run_answered(bad);
    test.loop.poll();
    cr_assert_not(test.blocks_request());
    cr_assert_eq(test.peers.reports.size(), 1);
    for (const crash_record& record : test.peers.reports[0].crashes)
        cr_assert(record.cleared);
}

Test(crash_controller, a_router_whose_digest_differs_receives_everything)
{
    one_router test;
    crash_report update;
    update.crashes = {{bad.value, 1, 0, crash_evidence::refused, false}};
    test.controller.report_received(update, "10.0.0.8:1");
    crash_report offer;
    offer.stage = report_stage::offer;
    test.controller.report_received(offer, "10.0.0.7:1");
    cr_assert_eq(test.peers.recipients.size(), 1);
    cr_assert_eq(test.peers.recipients.at(0), "10.0.0.7:1");
    cr_assert_eq(test.peers.reports.at(0).stage, report_stage::answer);
    cr_assert_eq(test.peers.reports.at(0).crashes.size(), 1);
}
