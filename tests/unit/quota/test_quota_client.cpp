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

/// Beside the limits of all, in a window.
constexpr double slack = 20'000;

global_limits make_limits()
{
    deployment made;
    organisation one;
    one.name = "o1";
    one.limit = usage_limit{10'000, 10'000};
    made.organisations = {one};
    quota_bounds bounds;
    bounds.slack = slack;
    return limits_of(made, bounds);
}

/// One of ten routers, two of which may count.
struct asking_router
{
    explicit asking_router(quota_mode mode = quota_mode::accountant)
        : client(make_options(mode))
    {
        this->client.set_limits(make_limits());
        this->client.set_accountants({"a", "b"}, 10);
        this->client.tick(at(0s));
    }

    static quota_client::options make_options(quota_mode mode)
    {
        quota_client::options made;
        made.router = "r";
        made.bounds.slack = slack;
        made.mode = mode;
        return made;
    }

    /// @return Words to one accountant since the last call.
    std::vector<quota_query> words_to(const std::string& name)
    {
        std::vector<quota_query> found;
        for (const quota_message& one : this->client.take_messages())
        {
            if (one.to == name)
                found.push_back(one.query);
        }
        return found;
    }

    /// The accountant answers with nothing decided.
    void answer(const std::string& name, duration when)
    {
        this->client.handle_reply({name, {}}, at(when));
    }

    /// An accountant answers for a second.
    void settle(const std::string& name)
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

Test(quota_client, asks_the_first_accountant_and_tells_its_decision)
{
    asking_router test;
    test.settle("a");
    const std::uint64_t id = test.client.draw("o1", 700, 100ms, at(1s));
    const auto words = test.words_to("a");
    cr_assert_eq(words.size(), 1);
    cr_assert_eq(words[0].draws.at(0).id, id);
    cr_assert_eq(words[0].draws.at(0).max_wait_us, 100'000);
    test.client.handle_reply({"a", {{id, true, 20'000}}}, at(1002ms));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 1);
    cr_assert(decisions[0].is_allowed);
    cr_assert(decisions[0].wait == 20ms);
}

Test(quota_client, a_lost_ask_is_sent_again)
{
    asking_router test;
    test.settle("a");
    const std::uint64_t id = test.client.draw("o1", 700, 100ms, at(1s));
    test.client.take_messages();
    cr_assert_leq(test.client.next_tick(), at(1040ms));
    test.client.tick(at(1040ms));
    const auto again = test.words_to("a");
    cr_assert_eq(again.at(0).draws.at(0).id, id);
}

Test(quota_client, one_that_falls_silent_is_left_for_the_next)
{
    asking_router test;
    test.settle("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1040ms));
    test.client.tick(at(1080ms));
    cr_assert_eq(test.client.accountant(), "b");
    cr_assert_eq(test.words_to("b").at(0).draws.size(), 1);
}

Test(quota_client, a_refusal_by_one_that_heard_few_so_far_is_not_final)
{
    asking_router test;
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

Test(quota_client, while_nobody_answers_its_own_part_decides_at_once)
{
    asking_router test;
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        test.client.tick(at(passed));
    test.client.take_messages();
    // A tenth of the limit, and a twentieth of what is beside it.
    test.client.draw("o1", 2'000, 0ms, at(5s));
    test.client.draw("o1", 2'000, 0ms, at(5s));
    const auto decisions = test.client.take_decisions();
    cr_assert_eq(decisions.size(), 2);
    cr_assert(decisions[0].is_allowed);
    cr_assert_not(decisions[1].is_allowed);
    cr_assert_gt(decisions[1].retry_after, duration(0));
}

Test(quota_client, a_request_over_its_own_part_is_refused)
{
    asking_router test;
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        test.client.tick(at(passed));
    test.client.draw("o1", 2'001, 60s, at(5s));
    cr_assert_not(test.client.take_decisions().at(0).is_allowed);
}

Test(quota_client, who_stood_still_does_not_take_that_for_silence)
{
    asking_router test;
    test.settle("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1200ms));
    cr_assert_eq(test.client.accountant(), "a");
}

Test(quota_client, two_accountants_count_it_at_once_only_once_in_a_window)
{
    asking_router test;
    test.settle("a");
    const auto fail_over = [&](const std::string& to, duration when)
    {
        test.client.draw("o1", 700, 100ms, at(when));
        test.client.tick(at(when + 40ms));
        test.client.tick(at(when + 80ms));
        test.client.take_messages();
        test.answer(to, when + 82ms);
        return test.words_to(to).at(0).counting_delay_us;
    };
    cr_assert_eq(fail_over("b", 1s), 0);
    for (duration passed = 1100ms; passed < 2200ms; passed += 20ms)
    {
        test.client.tick(at(passed));
        test.answer("b", passed);
    }
    // Back to the first, which had been left: it counts from when the other
    // one has stopped to.
    test.answer("a", 2190ms);
    cr_assert_eq(test.client.accountant(), "b");
    const std::int64_t wait = fail_over("a", 2200ms);
    cr_assert_gt(wait, 0);
    cr_assert_leq(wait, 800'000);
}

Test(quota_client, a_list_told_anew_is_no_reason_to_change)
{
    asking_router test;
    test.settle("a");
    test.client.draw("o1", 700, 100ms, at(1s));
    test.client.tick(at(1040ms));
    test.client.tick(at(1080ms));
    test.answer("b", 1082ms);
    // The first is back, and has heard nobody yet.
    test.answer("a", 1900ms);
    cr_assert_eq(test.client.accountant(), "b");
    test.client.set_accountants({"a", "b"}, 11);
    cr_assert_eq(test.client.accountant(), "b");
    test.client.set_accountants({"a"}, 11);
    cr_assert_eq(test.client.accountant(), "a");
}

Test(quota_client, own_share_asks_nobody)
{
    asking_router test(quota_mode::local_share);
    for (duration passed = 0s; passed <= 5s; passed += 250ms)
        test.client.tick(at(passed));
    test.client.draw("o1", 700, 0ms, at(5s));
    cr_assert(test.client.take_messages().empty());
    cr_assert(test.client.take_decisions().at(0).is_allowed);
}

Test(quota_client, a_router_that_knows_of_no_other_has_no_part)
{
    quota_client alone(asking_router::make_options(quota_mode::accountant));
    alone.set_limits(make_limits());
    for (duration passed = 0s; passed <= 5s; passed += 40ms)
        alone.tick(at(passed));
    alone.draw("o1", 1, 60s, at(5s));
    const auto decisions = alone.take_decisions();
    cr_assert_not(decisions.at(0).is_allowed);
    cr_assert_gt(decisions.at(0).retry_after, duration(0));
}
