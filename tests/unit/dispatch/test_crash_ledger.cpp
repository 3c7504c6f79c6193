#include "core/request/crash_ledger.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr fingerprint bad(7);
constexpr fingerprint other(8);

instant at(duration since_start)
{
    return instant(100s + since_start);
}

crash_ledger make_ledger()
{
    return crash_ledger(crash_ledger::options());
}

} // namespace

Test(crash_ledger, a_request_that_crashed_two_servers_is_blocked)
{
    crash_ledger ledger = make_ledger();
    ledger.broke(bad, "e1", at(0s));
    cr_assert_not(ledger.server_lost("e1", at(2s)));
    ledger.broke(bad, "e2", at(3s));
    cr_assert(ledger.blocked().empty());
    cr_assert(ledger.server_lost("e2", at(5s)));
    cr_assert(ledger.blocked().contains(bad));
}

Test(crash_ledger, broken_connections_alone_do_not_block)
{
    crash_ledger ledger = make_ledger();
    for (const char* server : {"e1", "e2", "e3", "e4"})
        ledger.broke(bad, server, at(0s));
    cr_assert_not(ledger.server_lost("e5", at(1s)));
    cr_assert(ledger.blocked().empty());
}

Test(crash_ledger, one_server_lost_twice_counts_once)
{
    crash_ledger ledger = make_ledger();
    for (const duration when : {0s, 3s})
    {
        ledger.broke(bad, "e1", at(when));
        cr_assert_not(ledger.server_lost("e1", at(when + 1s)));
    }
}

Test(crash_ledger, a_request_that_ran_on_one_crashed_server_is_not_blocked)
{
    crash_ledger ledger = make_ledger();
    ledger.broke(bad, "e1", at(0s));
    ledger.broke(other, "e1", at(0s));
    ledger.server_lost("e1", at(1s));
    ledger.broke(bad, "e2", at(2s));
    ledger.server_lost("e2", at(3s));
    cr_assert(ledger.blocked().contains(bad));
    cr_assert_not(ledger.blocked().contains(other));
}

Test(crash_ledger, a_server_lost_long_after_the_break_does_not_count)
{
    crash_ledger ledger = make_ledger();
    ledger.broke(bad, "e1", at(0s));
    ledger.server_lost("e1", at(1s));
    ledger.broke(bad, "e2", at(2s));
    cr_assert_not(ledger.server_lost("e2", at(11s)));
}

Test(crash_ledger, a_block_expires)
{
    crash_ledger ledger = make_ledger();
    ledger.broke(bad, "e1", at(0s));
    ledger.broke(bad, "e2", at(0s));
    ledger.server_lost("e1", at(1s));
    ledger.server_lost("e2", at(1s));
    cr_assert_not(ledger.tick(at(60s)));
    cr_assert(ledger.tick(at(61s + 1ms)));
    cr_assert(ledger.blocked().empty());
}
