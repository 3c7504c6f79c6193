#include "core/quota/quota_client.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

instant at(duration since_start)
{
    return instant(100s + since_start);
}

/// Tokens per window on top of the limit, for all routers together.
constexpr double slack = 20'000;

global_limits make_limits()
{
    deployment configuration;
    organisation entry;
    entry.name = "o1";
    entry.limit = usage_limit{10'000, 10'000};
    configuration.organisations = {entry};
    quota_bounds bounds;
    bounds.slack = slack;
    return limits_of(configuration, bounds);
}

/// One of ten routers, two of which may be accountants.
struct client_fixture
{
    explicit client_fixture(quota_mode mode = quota_mode::accountant)
        : client(make_options(mode))
    {
        this->client.set_limits(make_limits());
        this->client.set_accountants({"a", "b"}, 10);
        this->client.tick(at(0s));
    }

    static quota_client::options make_options(quota_mode mode)
    {
        quota_client::options config;
        config.router = "r";
        config.bounds.slack = slack;
        config.mode = mode;
        return config;
    }

    /// @return Queries to one accountant since the last call.
    std::vector<quota_query> queries_to(const std::string& name)
    {
        std::vector<quota_query> found;
        for (const quota_message& message : this->client.take_messages())
        {
            if (message.to == name)
                found.push_back(message.query);
        }
        return found;
    }

    /// The accountant replies without any results.
    void answer(const std::string& name, duration when)
    {
        this->client.handle_reply({name, {}}, at(when));
    }

    /// An accountant replies regularly for one second.
    void establish_contact(const std::string& name)
    {
        for (duration passed = 0s; passed <= 1s; passed += 50ms)
        {
            this->client.tick(at(passed));
            this->answer(name, passed);
        }
        this->client.take_messages();
    }

    quota_client client;
};

} // namespace

Test(quota_client, asks_the_first_accountant_and_passes_on_its_decision)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id = test.client.draw("o1", 700, 100ms, at(1s));
    const auto queries = test.queries_to("a");
    cr_assert_eq(queries.size(), 1);
    cr_assert_eq(queries[0].draws.at(0).id, id);
    cr_assert_eq(queries[0].draws.at(0).max_wait_us, 100'000);
    test.client.handle_reply({"a", {{id, true, 20'000}}}, at(1002ms));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert(decisions[0].is_allowed);
    cr_assert(decisions[0].wait == 20ms);
}

Test(quota_client, a_lost_query_is_sent_again)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id = test.client.draw("o1", 700, 100ms, at(1s));
    test.client.take_messages();
    cr_assert_leq(test.client.next_tick(), at(1040ms));
    test.client.tick(at(1040ms));
    const auto again = test.queries_to("a");
    cr_assert_eq(again.at(0).draws.at(0).id, id);
}

Test(quota_client, fails_over_from_an_unresponsive_accountant)
{
    client_fixture test;
    test.establish_contact("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1040ms));
    test.client.tick(at(1080ms));
    cr_assert_eq(test.client.accountant(), "b");
    cr_assert_eq(test.queries_to("b").at(0).draws.size(), 1);
}

Test(quota_client, a_refusal_by_an_accountant_that_just_started_is_not_final)
{
    client_fixture test;
    const std::uint64_t id = test.client.draw("o1", 700, 100ms, at(0s));
    test.client.handle_reply({"a", {{id, false, 500'000}}}, at(2ms));
    cr_assert(test.client.take_decisions().empty());
    for (duration passed = 40ms; passed < 300ms; passed += 40ms)
    {
        test.client.tick(at(passed));
        test.answer("a", passed);
    }
    test.client.tick(at(300ms));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert_not(decisions[0].is_allowed);
    cr_assert(decisions[0].retry_after == 500ms);
}

Test(quota_client, decides_locally_at_once_while_no_accountant_answers)
{
    client_fixture test;
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        test.client.tick(at(passed));
    test.client.take_messages();
    // The burst is a tenth of the limit plus a twentieth of the slack.
    test.client.draw("o1", 2'000, 0ms, at(5s));
    test.client.draw("o1", 2'000, 0ms, at(5s));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 2);
    cr_assert(decisions[0].is_allowed);
    cr_assert_not(decisions[1].is_allowed);
    cr_assert_gt(decisions[1].retry_after, duration(0));
}

Test(quota_client, a_request_above_its_local_burst_is_refused)
{
    client_fixture test;
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        test.client.tick(at(passed));
    test.client.draw("o1", 2'001, 60s, at(5s));
    cr_assert_not(test.client.take_decisions().at(0).is_allowed);
}

Test(quota_client, a_suspended_client_does_not_fail_over)
{
    client_fixture test;
    test.establish_contact("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1200ms));
    cr_assert_eq(test.client.accountant(), "a");
}

Test(quota_client, is_counted_twice_at_most_once_per_window)
{
    client_fixture test;
    test.establish_contact("a");
    const auto fail_over = [&](const std::string& to, duration when)
    {
        test.client.draw("o1", 700, 100ms, at(when));
        test.client.tick(at(when + 40ms));
        test.client.tick(at(when + 80ms));
        test.client.take_messages();
        test.answer(to, when + 82ms);
        return test.queries_to(to).at(0).counting_delay_us;
    };
    cr_assert_eq(fail_over("b", 1s), 0);
    for (duration passed = 1100ms; passed < 2200ms; passed += 20ms)
    {
        test.client.tick(at(passed));
        test.answer("b", passed);
    }
    // After a switch back to the first accountant, it counts this router only
    // once the other one has stopped to.
    test.answer("a", 2190ms);
    cr_assert_eq(test.client.accountant(), "b");
    const std::int64_t wait = fail_over("a", 2200ms);
    cr_assert_gt(wait, 0);
    cr_assert_leq(wait, 800'000);
}

Test(quota_client, an_updated_list_does_not_cause_a_switch)
{
    client_fixture test;
    test.establish_contact("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1040ms));
    test.client.tick(at(1080ms));
    test.answer("b", 1082ms);
    // The first is back, and no router has reported to it yet.
    test.answer("a", 1900ms);
    cr_assert_eq(test.client.accountant(), "b");
    test.client.set_accountants({"a", "b"}, 11);
    cr_assert_eq(test.client.accountant(), "b");
    test.client.set_accountants({"a"}, 11);
    cr_assert_eq(test.client.accountant(), "a");
}

Test(quota_client, local_shares_need_no_accountant)
{
    client_fixture test(quota_mode::local_share);
    for (duration passed = 0s; passed <= 5s; passed += 250ms)
        test.client.tick(at(passed));
    test.client.draw("o1", 700, 0ms, at(5s));
    cr_assert(test.client.take_messages().empty());
    cr_assert(test.client.take_decisions().at(0).is_allowed);
}

Test(quota_client, a_router_that_does_not_know_the_router_count_has_no_share)
{
    quota_client alone(client_fixture::make_options(quota_mode::accountant));
    alone.set_limits(make_limits());
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        alone.tick(at(passed));
    alone.draw("o1", 1, 60s, at(5s));
    const auto decisions = alone.take_decisions();
    cr_assert_not(decisions.at(0).is_allowed);
    cr_assert_gt(decisions.at(0).retry_after, duration(0));
}

namespace
{

draw_order make_order(std::uint8_t urgency, duration objective)
{
    draw_order order;
    order.urgency_class = urgency;
    order.objective_in_us = objective.count();
    return order;
}

} // namespace

/// A refusal at the first try would lose requests that have time.
Test(quota_client, a_refused_draw_that_can_wait_asks_again)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id =
        test.client.draw("o1", 700, 2s, at(1s), make_order(2, 8s));
    test.queries_to("a");
    int repeats = 0;
    for (duration when = 1s; when < 4900ms; when += 10ms)
    {
        test.client.tick(at(when));
        for (const quota_query& query : test.queries_to("a"))
        {
            test.answer("a", when);
            if (query.draws.empty())
                continue;
            ++repeats;
            cr_assert_eq(query.draws[0].id, id);
            cr_assert_eq(query.orders.at(0).urgency_class, 2);
            const duration left = 5s - when;
            cr_assert_leq(query.draws[0].max_wait_us, left.count());
            test.client.handle_reply({"a", {{id, false, 900'000}}}, at(when));
        }
        cr_assert(test.client.take_decisions().empty());
    }
    cr_assert_geq(repeats, 12);
    cr_assert_leq(repeats, 20);
    for (duration when = 4900ms; when <= 5s; when += 10ms)
        test.client.tick(at(when));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert_not(decisions[0].is_allowed);
    cr_assert(decisions[0].retry_after == 900ms);
}

Test(quota_client, a_waiting_draw_is_sent_when_it_is_allowed)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id =
        test.client.draw("o1", 700, 2s, at(1s), make_order(2, 8s));
    test.client.handle_reply({"a", {{id, false, 900'000}}}, at(1002ms));
    cr_assert(test.client.take_decisions().empty());
    test.client.handle_reply({"a", {{id, true, 0}}}, at(1252ms));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert(decisions[0].is_allowed);
}

Test(quota_client, a_refused_urgent_draw_does_not_wait)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id =
        test.client.draw("o1", 700, 62ms, at(1s), make_order(0, 250ms));
    test.client.handle_reply({"a", {{id, false, 900'000}}}, at(1002ms));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert_not(decisions[0].is_allowed);
}

/// An accountant refused the draw, so it must not get local tokens as well.
Test(quota_client, a_waiting_draw_is_refused_if_the_accountants_are_lost)
{
    client_fixture test;
    test.establish_contact("a");
    const std::uint64_t id =
        test.client.draw("o1", 100, 2s, at(1s), make_order(2, 8s));
    test.client.handle_reply({"a", {{id, false, 900'000}}}, at(1002ms));
    for (duration when = 1010ms; when <= 5s; when += 10ms)
        test.client.tick(at(when));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert_not(decisions[0].is_allowed);
}

/// The messages about waiting draws are bounded.
Test(quota_client, only_so_many_refused_draws_wait)
{
    constexpr std::size_t max_waiting = 256;
    client_fixture test;
    test.establish_contact("a");
    quota_reply refusals{"a", {}};
    for (std::size_t i = 0; i < max_waiting + 10; ++i)
    {
        const std::uint64_t id =
            test.client.draw("o1", 700, 2s, at(1s), make_order(2, 8s));
        refusals.results.push_back({id, false, 900'000});
    }
    test.client.take_messages();
    test.client.handle_reply(refusals, at(1002ms));
    cr_assert_eq(test.client.take_decisions().size(), 10);
    test.client.tick(at(1252ms));
    std::size_t repeated = 0;
    for (const quota_query& query : test.queries_to("a"))
    {
        cr_assert_leq(query.draws.size(), 24);
        repeated += query.draws.size();
    }
    cr_assert_eq(repeated, max_waiting);
}
