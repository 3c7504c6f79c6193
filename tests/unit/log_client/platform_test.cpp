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
using mode = scripted_answer::mode;

std::string to_text(const asio::ip::tcp::endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

credentials make_credentials(const std::string& secret = "secret")
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

/// A client of an engine with scripted answers.
struct engine_fixture
{
    explicit engine_fixture(scripted_server::script script)
        : server(context, std::move(script))
        , client(context.get_executor(), options(), make_credentials(), meter)
    {
    }

    ~engine_fixture()
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

    std::optional<order_outcome>
    order(order_action action, bool may_send = true)
    {
        engine_order order;
        order.address = to_text(this->server.endpoint());
        order.action = action;
        order.checks_credential = true;
        std::optional<order_outcome> result;
        this->client.send_order(
            order,
            "e1",
            [may_send]
            {
                return may_send;
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

std::optional<order_outcome> order_outcome_for(
    scripted_answer answer, order_action action = order_action::load)
{
    engine_fixture fixture(
        [answer](const scripted_server::request&)
        {
            return answer;
        });
    return fixture.order(action);
}

/// @return Whether parsing the body as an engine report fails.
bool is_report_rejected(std::string_view body)
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

Test(engine_client, each_response_has_the_expected_outcome)
{
    using enum order_outcome;
    cr_expect(order_outcome_for({mode::answer, 202, ""}) == accepted);
    cr_expect(
        order_outcome_for(
            {mode::answer, 409, R"({"error":"stale_fence","highest":9})"}) ==
        stale_fence);
    cr_expect(order_outcome_for({mode::answer, 409, ""}) == refused);
    cr_expect(order_outcome_for({mode::answer, 507, ""}) == out_of_memory);
    cr_expect(order_outcome_for({mode::answer, 401, ""}) == refused);
    cr_expect(order_outcome_for({mode::answer, 404, ""}) == refused);
    cr_expect(
        order_outcome_for({mode::answer, 404, ""}, order_action::unload) ==
        not_found);
    cr_expect(order_outcome_for({mode::answer, 503, ""}) == unknown);
    cr_expect(order_outcome_for({mode::disconnect, 0, ""}) == unknown);
    cr_expect(order_outcome_for({mode::no_answer, 0, ""}) == unknown);
}

Test(engine_client, an_order_whose_lease_has_expired_is_not_sent)
{
    engine_fixture fixture(
        [](const scripted_server::request&)
        {
            return scripted_answer{mode::answer, 202, ""};
        });
    cr_expect(
        fixture.order(order_action::load, false) == order_outcome::not_sent);
    cr_expect(fixture.server.requests.empty());
    // The connection is kept. Whether it may be sent is checked again for each
    // order.
    cr_expect(fixture.order(order_action::load) == order_outcome::accepted);
    cr_expect(
        fixture.order(order_action::load, false) == order_outcome::not_sent);
    cr_expect(fixture.server.requests.size() == 1);
    cr_expect(fixture.server.connections == 1);
}

Test(engine_client, an_unreachable_engine_is_reported)
{
    engine_fixture fixture(
        [](const scripted_server::request&)
        {
            return scripted_answer();
        });
    const std::string address = to_text(fixture.server.endpoint());
    fixture.server.stop();
    engine_order order;
    order.address = address;
    std::optional<order_outcome> result;
    std::optional<engine_report> report;
    fixture.client.send_order(
        order,
        "e1",
        {},
        [&](order_outcome outcome)
        {
            result = outcome;
        });
    fixture.client.read_state(
        {engine_id(4), address},
        [&](engine_report read)
        {
            report = std::move(read);
        });
    cr_assert(run_until(
        fixture.context,
        [&]
        {
            return result && report;
        }));
    cr_expect(result == order_outcome::not_sent);
    cr_expect(!report->reachable);
    cr_expect(report->engine == engine_id(4));
}

Test(engine_client, sends_the_credential_to_engines_that_check_it)
{
    engine_fixture fixture(
        [](const scripted_server::request&)
        {
            return scripted_answer{mode::answer, 202, ""};
        });
    fixture.order(order_action::load);
    cr_assert(fixture.server.requests.size() == 1);
    const auto shown = fixture.server.requests[0]["Authorization"];
    cr_expect(shown == "Bearer secret");
    fixture.client.set_credentials(make_credentials("renewed"));
    fixture.order(order_action::load);
    cr_assert(fixture.server.requests.size() == 2);
    const auto renewed = fixture.server.requests[1]["Authorization"];
    cr_expect(renewed == "Bearer renewed");
}

Test(platform_messages, a_report_with_missing_fields_is_read)
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

Test(
    platform_messages, a_report_with_missing_or_malformed_residents_is_rejected)
{
    cr_expect(is_report_rejected(""));
    cr_expect(is_report_rejected("[]"));
    cr_expect(is_report_rejected("{}"));
    cr_expect(is_report_rejected(R"({"residents":[1]})"));
    cr_expect(is_report_rejected(R"({"residents":[{"state":"new"}]})"));
    cr_expect(!is_report_rejected(R"({"residents":[]})"));
}

Test(
    engine_client,
    continues_reading_cache_events_and_starts_again_after_a_restart)
{
    engine_fixture fixture(
        [](const scripted_server::request& call)
        {
            const bool first = call.target().ends_with("from=1");
            return scripted_answer{
                mode::answer,
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
        fixture.client.read_cache_events(
            {engine_id(4), to_text(fixture.server.endpoint())},
            incarnation,
            [&](const cache_report& received)
            {
                report = received;
            });
        cr_assert(run_until(
            fixture.context,
            [&]
            {
                return report.has_value();
            }));
        return *report;
    };

    const cache_report first = read(17);
    cr_expect(first.engine == engine_id(4) && first.incarnation == 17);
    cr_expect(first.from == 0 && first.next == 8);
    cr_assert(first.events.size() == 2, "malformed events are skipped");
    cr_expect(first.events[0].prefix == 255 && first.events[0].cached);
    cr_expect(first.events[1].prefix == 0xfedcba9876543210ULL);
    cr_expect(first.events[1].sequence == 7 && !first.events[1].cached);
    cr_expect(read(17).from == 8);
    cr_expect(read(18).from == 0, "another incarnation is read from the start");
    cr_expect(fixture.server.requests.size() == 3);
    cr_expect(
        fixture.server.requests[1].target() == "/v1/engine/events?from=8");
    cr_expect(
        fixture.server.requests[2].target() == "/v1/engine/events?from=1");
}

Test(credentials, rejects_values_that_are_invalid_in_a_header)
{
    std::istringstream in("e1 = two words\n");
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(credentials::load(in, "test"));
            return false;
        },
        [](const credentials_error& problem)
        {
            // The message must not contain the credential.
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

class recording_listener : public vm_list_listener
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

// An unchanged list is sent once and is reported at each poll. After a failure
// and for another version, the complete list is sent.
Test(vm_list_client, an_unchanged_list_is_not_sent_again)
{
    const std::string one_vm =
        R"({"vms":[{"vm":"b1","address":"127.0.0.1:1","role":"backend",
            "state":"live","data_centre":"negombo"}]})";
    std::vector<std::string> sent_tags;
    asio::io_context context;
    scripted_server server(
        context,
        [&](const scripted_server::request& request) -> scripted_answer
        {
            sent_tags.emplace_back(
                request[boost::beast::http::field::if_none_match]);
            const std::size_t polls = sent_tags.size();
            if (polls == 4)
                return {mode::answer, 503, "{}"};
            if (polls == 2 || polls == 3)
                return {mode::answer, 304, ""};
            return {mode::answer, 200, one_vm, "ETag: \"7\"\r\n"};
        });
    byte_meter meter;
    http_vm_list_client::options options;
    options.poll = 1ms;
    http_vm_list_client client(
        context.get_executor(), server.endpoint(), options, meter);
    recording_listener listener;
    client.start(listener);
    cr_assert(run_until(
        context,
        [&]
        {
            return listener.lists == 4;
        }));
    const std::vector<std::string> expected_tags{
        "", "\"7\"", "\"7\"", "\"7\"", ""};
    cr_expect(std::ranges::equal(std::span(sent_tags).first(5), expected_tags));
    cr_expect(listener.failures == 1);
    cr_expect(listener.last.size() == 1);
    client.stop();
    server.stop();
    context.restart();
    context.run_for(1s);
}

Test(vm_list_client, reports_lists_and_failures)
{
    int polls = 0;
    asio::io_context context;
    scripted_server server(
        context,
        [&](const scripted_server::request&)
        {
            if (++polls == 1)
                return scripted_answer{mode::answer, 200, R"({"vms":[{}]})"};
            return scripted_answer{
                mode::answer,
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
    recording_listener listener;
    client.start(listener);
    cr_assert(run_until(
        context,
        [&]
        {
            return !listener.last.empty();
        }));
    cr_expect(listener.failures == 1);
    cr_expect(listener.last[0].vm == "b1");
    cr_expect(listener.last[0].leaving);
    cr_expect(!listener.last[0].is_router);
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

// Distinguishes the boot-time clock from the steady clock only on a machine
// that was suspended since it was started.
Test(system_clock, includes_the_time_of_a_suspended_machine)
{
    const platform::system_clock clock;
    const instant before = boot_time();
    const instant now = clock.now();
    cr_assert(before <= now);
    cr_assert(now <= boot_time());
}
