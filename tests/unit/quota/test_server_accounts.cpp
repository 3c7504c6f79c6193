#include "core/quota/quota_accountant.hpp"
#include "core/quota/quota_client.hpp"

#include <limits>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr double per_second = 2;

instant at(duration since_start)
{
    return instant(100s + since_start);
}

quota_query make_query(std::uint64_t id, double named)
{
    quota_query query;
    query.router = "r";
    query.last_reply_age_us = 0;
    query.counting_delay_us = 0;
    if (id != 0)
        query.draws = {{id, server_account("s"), 1, 0, named}};
    return query;
}

/// An accountant that has a single router and knows no limit.
struct accountant_fixture
{
    accountant_fixture()
    {
        this->accountant.set_router_count(1);
        this->advance(0s, 1s);
    }

    void advance(duration from, duration to)
    {
        for (duration passed = from; passed < to; passed += 50ms)
        {
            this->accountant.handle_query(make_query(0, 0), at(passed));
            this->accountant.tick(at(passed));
        }
    }

    bool allows(std::uint64_t id, double named, duration when)
    {
        const auto answer =
            this->accountant.handle_query(make_query(id, named), at(when));
        return answer.results.at(0).is_allowed;
    }

    quota_accountant accountant{"a", quota_bounds()};
};

} // namespace

/// The message that announced the limit to the accountant was lost.
Test(
    server_accounts,
    an_accountant_enforces_a_limit_that_only_the_draw_announces)
{
    accountant_fixture test;
    int allowed = 0;
    std::uint64_t id = 0;
    for (duration passed = 1s; passed < 5s; passed += 50ms)
    {
        test.advance(passed, passed + 50ms);
        allowed += test.allows(++id, per_second, passed) ? 1 : 0;
    }
    cr_assert_geq(allowed, 7);
    cr_assert_leq(allowed, 9);
}

Test(server_accounts, an_invalid_limit_creates_no_account)
{
    accountant_fixture test;
    std::uint64_t id = 0;
    for (const double bad :
         {-1.0,
          std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
        test.allows(++id, bad, 1s);
    cr_assert(test.accountant.accounts().empty());
}

Test(server_accounts, an_organisation_named_like_a_server_is_another_account)
{
    cr_assert_not(is_server_account("s"));
    cr_assert(is_server_account(server_account("s")));
    cr_assert_eq(server_of_account(server_account("s")), "s");
}

/// Without an accountant, each router has its share, in whole requests.
Test(server_accounts, a_router_without_an_accountant_sends_its_share)
{
    quota_client::options settings;
    settings.router = "r";
    settings.bounds.slack = 110'000; // must not apply to servers
    quota_client client(settings);
    client.set_limits({{server_account("s"), limit_of_server(per_second)}});
    client.set_accountants({"a"}, 10);
    int allowed = 0;
    for (duration passed = 0s; passed < 20s; passed += 50ms)
    {
        client.tick(at(passed));
        client.draw(server_account("s"), 1, 0ms, at(passed));
        client.take_messages();
        for (const quota_decision& decision : client.take_decisions())
            allowed += decision.is_allowed ? 1 : 0;
    }
    cr_assert_geq(allowed, 3);
    cr_assert_leq(allowed, 4);
}
