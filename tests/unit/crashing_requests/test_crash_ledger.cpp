#include "core/crashes/crash_ledger.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr fingerprint bad(7);
constexpr instant start(100s);

crash_record crash_of(std::uint64_t request, std::uint64_t life)
{
    return {request, life, 0, crash_evidence::removed, false};
}

crash_ledger make_ledger()
{
    return crash_ledger(crash_ledger::options());
}

/// @return The length of the block after this number of crashes at one time.
duration block_after(std::uint64_t crashes)
{
    crash_ledger ledger = make_ledger();
    for (std::uint64_t life = 1; life <= crashes; ++life)
        ledger.add(crash_of(bad.value, life), start);
    return ledger.blocked_until(bad) - start;
}

void merge(crash_ledger& into, const crash_ledger& from, instant now)
{
    for (const crash_record& record : from.crashes(now, 1000))
        into.add(record, now);
}

} // namespace

Test(crash_ledger, the_block_grows_with_the_crashes)
{
    cr_assert_eq(block_after(2), 5s);
    cr_assert_eq(block_after(3), 60s);
    cr_assert_eq(block_after(4), 120s);
    cr_assert_eq(block_after(12), 8min);
}

Test(crash_ledger, ledgers_that_merge_in_any_order_agree)
{
    crash_ledger one = make_ledger();
    crash_ledger two = make_ledger();
    one.add(crash_of(7, 1), start);
    one.add(crash_of(7, 2), start);
    two.add(crash_of(7, 2), start);
    two.add(crash_of(9, 3), start);
    cr_assert_eq(two.clear(bad), 1);
    cr_assert_neq(one.digest(), two.digest());
    merge(one, two, start + 1s);
    merge(two, one, start + 2s);
    merge(one, two, start + 3s);
    cr_assert_eq(one.digest(), two.digest());
    cr_assert_eq(one.blocking_lives(bad), 0);
    cr_assert_eq(two.blocking_lives(bad), 0);
}

Test(crash_ledger, a_repeated_record_keeps_its_time)
{
    crash_ledger ledger = make_ledger();
    ledger.add(crash_of(7, 1), start);
    ledger.add(crash_of(7, 2), start);
    cr_assert_not(ledger.add(crash_of(7, 2), start + 4s));
    cr_assert_eq(ledger.blocked_until(bad), start + 5s);
}

Test(crash_ledger, a_crash_after_a_request_was_cleared_counts_anew)
{
    crash_ledger ledger = make_ledger();
    ledger.add(crash_of(7, 1), start);
    ledger.add(crash_of(7, 2), start);
    cr_assert_eq(ledger.clear(bad), 2);
    cr_assert_not(ledger.add(crash_of(7, 1), start + 1s));
    ledger.add(crash_of(7, 3), start + 2s);
    cr_assert_eq(ledger.blocking_lives(bad), 0);
    ledger.add(crash_of(7, 4), start + 3s);
    cr_assert_eq(ledger.blocking_lives(bad), 2);
}

Test(crash_ledger, many_requests_with_one_crash_do_not_displace_the_worst)
{
    crash_ledger::options settings;
    settings.max_records = 100;
    crash_ledger ledger(settings);
    for (std::uint64_t life = 1; life <= 3; ++life)
        ledger.add(crash_of(bad.value, life), start);
    for (std::uint64_t request = 100; request < 1100; ++request)
        ledger.add(crash_of(request, request), start + 1s);
    cr_assert_eq(ledger.blocking_lives(bad), 3);
    cr_assert_leq(ledger.crashes(start + 1s, 2000).size(), 100);
    cr_assert_eq(ledger.crashes(start + 1s, 2000)[0].request, bad.value);
}

Test(crash_ledger, malformed_records_are_ignored)
{
    crash_ledger ledger = make_ledger();
    crash_record record = crash_of(7, 1);
    record.age_us = -1;
    cr_assert_not(ledger.add(record, start));
    record = crash_of(0, 1);
    cr_assert_not(ledger.add(record, start));
    record = crash_of(7, 1);
    record.evidence = static_cast<crash_evidence>(9);
    cr_assert_not(ledger.add(record, start));
    record = crash_of(7, 1);
    record.age_us = duration(1h).count();
    cr_assert_not(ledger.add(record, start));
    cr_assert(ledger.empty());
}

Test(crash_ledger, a_trial_keeps_the_others_waiting)
{
    crash_ledger ledger = make_ledger();
    ledger.add(crash_of(7, 1), start);
    ledger.add(crash_of(7, 2), start);
    cr_assert(ledger.add(trial_record{7, 1, 0}, start + 6s));
    cr_assert_eq(ledger.blocked_until(bad), start + 16s);
    cr_assert(ledger.tick(start + 17s));
    cr_assert_eq(ledger.blocked_until(bad), start + 5s);
}
