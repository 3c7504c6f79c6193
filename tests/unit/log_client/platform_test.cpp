#include "adapters/platform/credentials.hpp"
#include "adapters/platform/http_engine_client.hpp"
#include "adapters/platform/http_vm_list_client.hpp"
#include "adapters/platform/platform_messages.hpp"
#include "adapters/platform/system_clock.hpp"
#include "scripted_server.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <ctime>
#include <optional>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::platform;
using namespace roseworks::testing;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using kind = scripted_answer::kind;

std::string text_of(const asio::ip::tcp::endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

credentials one_credential(const std::string& secret = "secret")
{
    std::istringstream in("e1 = " + secret + "\n");
    return leaf::try_handle_all(
        [&]
        {
            return credentials::load(in, "test");
        },
        []
        {
            cr_assert(false);
            return credentials();
        });
}

/// An engine client against a scripted engine.
struct engine_bench
{
    explicit engine_bench(scripted_server::script script)
        : server(context, std::move(script))
        , client(context.get_executor(), options(), one_credential(), meter)
    {
    }

    ~engine_bench()
    {
        this->client.cancel_all();
        this->server.stop();
        this->context.restart();
        this->context.run_for(1s);
    }

    static http_engine_client::options options()
    {
        http_engine_client::options result;
        result.order_timeout = 300ms;
        return result;
    }

    std::optional<order_outcome> order(order_action action, bool allowed = true)
    {
        engine_order what;
        what.address = text_of(this->server.endpoint());
        what.action = action;
        what.checks_credential = true;
        std::optional<order_outcome> result;
        this->client.send_order(
            what,
            "e1",
            [allowed]
            {
                return allowed;
            },
            [&](order_outcome outcome)
            {
                result = outcome;
            });
        run_until(
            this->context,
            [&]
            {
                return result.has_value();
            });
        return result;
    }

    asio::io_context context;
    byte_meter meter;
    scripted_server server;
    http_engine_client client;
};

std::optional<order_outcome>
order_against(scripted_answer answer, order_action action = order_action::load)
{
    engine_bench bench(
        [answer](const scripted_server::request&)
        {
            return answer;
        });
    return bench.order(action);
}

/// @return Whether the text is refused.
bool report_is_refused(std::string_view body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(read_report(body, engine_id(1)));
            return false;
        },
        [](const message_error&)
        {
            return true;
        },
        []
        {
            return false;
        });
}

} // namespace

Test(engine_client, each_answer_has_its_outcome)
{
    using enum order_outcome;
    cr_expect(order_against({kind::answer, 202, ""}) == accepted);
    cr_expect(
        order_against(
            {kind::answer, 409, R"({"error":"stale_fence","highest":9})"}) ==
        stale_fence);
    cr_expect(order_against({kind::answer, 409, ""}) == refused);
    cr_expect(order_against({kind::answer, 507, ""}) == out_of_memory);
    cr_expect(order_against({kind::answer, 401, ""}) == refused);
    cr_expect(order_against({kind::answer, 404, ""}) == refused);
    cr_expect(
        order_against({kind::answer, 404, ""}, order_action::unload) ==
        not_found);
    cr_expect(order_against({kind::answer, 503, ""}) == unknown);
    cr_expect(order_against({kind::close, 0, ""}) == unknown);
    cr_expect(order_against({kind::hold, 0, ""}) == unknown);
}

Test(engine_client, an_order_whose_lease_lapsed_never_leaves)
{
    engine_bench bench(
        [](const scripted_server::request&)
        {
            return scripted_answer{kind::answer, 202, ""};
        });
    cr_expect(
        bench.order(order_action::load, false) == order_outcome::not_sent);
    cr_expect(bench.server.requests.empty());
    // The connection is kept: the next order is asked about again.
    cr_expect(bench.order(order_action::load) == order_outcome::accepted);
    cr_expect(
        bench.order(order_action::load, false) == order_outcome::not_sent);
    cr_expect(bench.server.requests.size() == 1);
    cr_expect(bench.server.connections == 1);
}

Test(engine_client, an_unreachable_engine_gets_nothing)
{
    engine_bench bench(
        [](const scripted_server::request&)
        {
            return scripted_answer();
        });
    const std::string address = text_of(bench.server.endpoint());
    bench.server.stop();
    engine_order what;
    what.address = address;
    std::optional<order_outcome> result;
    std::optional<engine_report> report;
    bench.client.send_order(
        what,
        "e1",
        {},
        [&](order_outcome outcome)
        {
            result = outcome;
        });
    bench.client.read_state(
        {engine_id(4), address},
        [&](engine_report read)
        {
            report = std::move(read);
        });
    cr_assert(run_until(
        bench.context,
        [&]
        {
            return result && report;
        }));
    cr_expect(result == order_outcome::not_sent);
    cr_expect(!report->reachable);
    cr_expect(report->engine == engine_id(4));
}

Test(engine_client, shows_the_credential_where_it_is_checked)
{
    engine_bench bench(
        [](const scripted_server::request&)
        {
            return scripted_answer{kind::answer, 202, ""};
        });
    bench.order(order_action::load);
    cr_assert(bench.server.requests.size() == 1);
    const auto shown = bench.server.requests[0]["Authorization"];
    cr_expect(shown == "Bearer secret");
    bench.client.show(one_credential("renewed"));
    bench.order(order_action::load);
    cr_assert(bench.server.requests.size() == 2);
    const auto renewed = bench.server.requests[1]["Authorization"];
    cr_expect(renewed == "Bearer renewed");
}

Test(platform_messages, a_report_is_read_with_missing_fields)
{
    constexpr std::string_view body =
        R"({"engine":"e1","incarnation":17,"memory_used":5,
            "residents":[{"replica":42,"servable":"m","state":"ready",
                          "memory":9,"served":3}],
            "cached":[{"servable":"a","tier":"disk"},
                      {"servable":"b","tier":"memory"}]})";
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(report, read_report(body, engine_id(1)));
            cr_assert(report.residents.size() == 1);
            cr_expect(report.reachable);
            cr_expect(report.incarnation == 17);
            cr_expect(report.residents[0].replica == replica_id(42));
            cr_expect(report.residents[0].state == replica_state::ready);
            cr_expect(report.residents[0].served == 3);
            cr_expect(report.residents[0].running == 0);
            cr_expect(report.waiting == 0);
            cr_expect(report.cached_on_disk.at(0) == "a");
            cr_expect(report.cached_in_memory.at(0) == "b");
            return {};
        },
        []
        {
            cr_expect(false);
        });
}

Test(platform_messages, a_report_that_hides_residents_is_refused)
{
    cr_expect(report_is_refused(""));
    cr_expect(report_is_refused("[]"));
    cr_expect(report_is_refused("{}"));
    cr_expect(report_is_refused(R"({"residents":[1]})"));
    cr_expect(report_is_refused(R"({"residents":[{"state":"new"}]})"));
    cr_expect(!report_is_refused(R"({"residents":[]})"));
}

Test(engine_client, reads_cache_events_on_from_the_last_and_anew_after_restart)
{
    engine_bench bench(
        [](const scripted_server::request& call)
        {
            const bool first = call.target().ends_with("from=1");
            return scripted_answer{
                kind::answer,
                200,
                first ? R"({"next":8,"events":[
                         {"seq":6,"prefix":"00000000000000ff","cached":true},
                         {"seq":7,"prefix":"fedcba9876543210","cached":false},
                         {"seq":0,"prefix":"fedcba9876543210","cached":true},
                         {"seq":8,"prefix":"xyz","cached":true},
                         {"seq":9,"prefix":"fedcba9876543210"}, 5]})"
                      : R"({"next":8,"events":[]})"};
        });
    const auto read = [&](std::uint64_t incarnation)
    {
        std::optional<cache_report> report;
        bench.client.read_cache_events(
            {engine_id(4), text_of(bench.server.endpoint())},
            incarnation,
            [&](const cache_report& one)
            {
                report = one;
            });
        cr_assert(run_until(
            bench.context,
            [&]
            {
                return report.has_value();
            }));
        return *report;
    };

    const cache_report first = read(17);
    cr_expect(first.engine == engine_id(4) && first.incarnation == 17);
    cr_expect(first.from == 0 && first.next == 8);
    cr_assert(first.events.size() == 2, "what is in bad form counts as lost");
    cr_expect(first.events[0].prefix == 255 && first.events[0].cached);
    cr_expect(first.events[1].prefix == 0xfedcba9876543210ULL);
    cr_expect(first.events[1].sequence == 7 && !first.events[1].cached);
    cr_expect(read(17).from == 8);
    cr_expect(read(18).from == 0, "another incarnation");
    cr_expect(bench.server.requests.size() == 3);
    cr_expect(bench.server.requests[1].target() == "/v1/engine/events?from=8");
    cr_expect(bench.server.requests[2].target() == "/v1/engine/events?from=1");
}

Test(credentials, refuses_what_could_not_be_a_header)
{
    std::istringstream in("e1 = two words\n");
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(credentials::load(in, "test"));
            return false;
        },
        [](const credentials_problem& problem)
        {
            // The credential itself is never told.
            return problem.what.find("two") == std::string::npos;
        },
        []
        {
            return false;
        });
    cr_expect(refused);
}

namespace
{

class vm_recorder : public vm_list_listener
{
public:
    void vms_listed(std::span<const vm_entry> vms) override
    {
        ++this->lists;
        this->last.assign(vms.begin(), vms.end());
    }

    void vm_list_failed() override
    {
        ++this->failures;
    }

    std::vector<vm_entry> last;
    int lists = 0;
    int failures = 0;
};

} // namespace

// A list of one version is sent once and still counts at each look; after a
// failure and for another version it is asked for whole.
Test(vm_list_client, an_unchanged_list_is_not_sent_again)
{
    const std::string one_vm =
        R"({"vms":[{"vm":"b1","address":"127.0.0.1:1","role":"backend",
            "state":"live","data_centre":"negombo"}]})";
    std::vector<std::string> shown;
    asio::io_context context;
    scripted_server server(
        context,
        [&](const scripted_server::request& request) -> scripted_answer
        {
            shown.emplace_back(
                request[boost::beast::http::field::if_none_match]);
            const std::size_t polls = shown.size();
            if (polls == 4)
                return {kind::answer, 503, "{}"};
            if (polls == 2 || polls == 3)
                return {kind::answer, 304, ""};
            return {kind::answer, 200, one_vm, "ETag: \"7\"\r\n"};
        });
    byte_meter meter;
    http_vm_list_client::options options;
    options.poll = 1ms;
    http_vm_list_client client(
        context.get_executor(), server.endpoint(), options, meter);
    vm_recorder seen;
    client.start(seen);
    cr_assert(run_until(
        context,
        [&]
        {
            return seen.lists == 4;
        }));
    const std::vector<std::string> wanted{"", "\"7\"", "\"7\"", "\"7\"", ""};
    cr_expect(std::ranges::equal(std::span(shown).first(5), wanted));
    cr_expect(seen.failures == 1);
    cr_expect(seen.last.size() == 1);
    client.stop();
    server.stop();
    context.restart();
    context.run_for(1s);
}

Test(vm_list_client, lists_vms_and_tells_of_failures)
{
    int polls = 0;
    asio::io_context context;
    scripted_server server(
        context,
        [&](const scripted_server::request&)
        {
            if (++polls == 1)
                return scripted_answer{kind::answer, 200, R"({"vms":[{}]})"};
            return scripted_answer{
                kind::answer,
                200,
                R"({"vms":[{"vm":"b1","address":"127.0.0.1:1",
                    "role":"backend","state":"leaving",
                    "data_centre":"negombo"}]})"};
        });
    byte_meter meter;
    http_vm_list_client::options options;
    options.poll = 1ms;
    http_vm_list_client client(
        context.get_executor(), server.endpoint(), options, meter);
    vm_recorder seen;
    client.start(seen);
    cr_assert(run_until(
        context,
        [&]
        {
            return !seen.last.empty();
        }));
    cr_expect(seen.failures == 1);
    cr_expect(seen.last[0].vm == "b1");
    cr_expect(seen.last[0].leaving);
    cr_expect(!seen.last[0].is_router);
    client.stop();
    server.stop();
    context.restart();
    context.run_for(1s);
}

namespace
{

instant boot_time()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return instant(
        std::chrono::seconds(read.tv_sec) +
        std::chrono::duration_cast<duration>(
            std::chrono::nanoseconds(read.tv_nsec)));
}

} // namespace

// Tells the two clocks apart only on a machine that was once suspended.
Test(system_clock, counts_the_time_of_a_suspended_machine)
{
    const platform::system_clock clock;
    const instant before = boot_time();
    const instant now = clock.now();
    cr_assert(before <= now);
    cr_assert(now <= boot_time());
}
