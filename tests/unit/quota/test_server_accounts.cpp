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

quota_query make_ask(std::uint64_t id, double named)
{
    quota_query made;
    made.router = "r";
    made.last_reply_age_us = 0;
    made.counting_delay_us = 0;
    if (id != 0)
        made.draws = {{id, server_account("s"), 1, 0, named}};
    return made;
}

/// An accountant that hears its only router, and has no word of any limit.
struct unaware
{
    unaware()
    {
        this->counts.set_router_count(1);
        this->pass(0s, 1s);
    }

    void pass(duration from, duration to)
    {
        for (duration passed = from; passed < to; passed += 50ms)
        {
            this->counts.handle_query(make_ask(0, 0), at(passed));
            this->counts.tick(at(passed));
        }
    }

    bool allows(std::uint64_t id, double named, duration when)
    {
        const auto answer =
            this->counts.handle_query(make_ask(id, named), at(when));
        return answer.results.at(0).is_allowed;
    }

    quota_accountant counts{"a", quota_bounds()};
};

} // namespace

/// The word of the limit was lost on its way to the accountant.
Test(server_accounts, an_accountant_counts_a_limit_that_only_the_draw_names)
{
    unaware test;
    int allowed = 0;
    std::uint64_t id = 0;
    for (duration passed = 1s; passed < 5s; passed += 50ms)
    {
        test.pass(passed, passed + 50ms);
        allowed += test.allows(++id, per_second, passed) ? 1 : 0;
    }
    cr_assert_geq(allowed, 7);
    cr_assert_leq(allowed, 9);
}

Test(server_accounts, a_limit_of_nonsense_makes_no_account)
{
    unaware test;
    std::uint64_t id = 0;
    for (const double bad :
         {-1.0,
          std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
        test.allows(++id, bad, 1s);
    cr_assert(test.counts.accounts().empty());
}

Test(server_accounts, an_organisation_of_a_servers_name_is_another_account)
{
    cr_assert_not(is_server_account("s"));
    cr_assert(is_server_account(server_account("s")));
    cr_assert_eq(server_of_account(server_account("s")), "s");
}

/// Nobody counts: each router has its part, in whole requests.
Test(server_accounts, a_router_that_hears_no_accountant_sends_its_part)
{
    quota_client::options settings;
    settings.router = "r";
    settings.bounds.slack = 110'000; // of organisations
    quota_client client(settings);
    client.set_limits({{server_account("s"), limit_of_server(per_second)}});
    client.set_accountants({"a"}, 10);
    int allowed = 0;
    for (duration passed = 0s; passed < 20s; passed += 50ms)
    {
        client.tick(at(passed));
        client.draw(server_account("s"), 1, 0ms, at(passed));
        client.take_messages();
        for (const quota_decision& made : client.take_decisions())
            allowed += made.is_allowed ? 1 : 0;
    }
    cr_assert_geq(allowed, 3);
    cr_assert_leq(allowed, 4);
}
