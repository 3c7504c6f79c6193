#include "core/crashes/part_ledger.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t bad = 7;
constexpr std::uint64_t shared = 3;
constexpr instant start(100s);

part_crash_record
end_of(std::uint64_t part, std::uint64_t life, std::uint64_t request)
{
    part_crash_record record;
    record.part = part;
    record.life = life;
    record.request = request;
    record.evidence = crash_evidence::refused;
    return record;
}

/// Ends lives one second apart, each under another request.
void end_lives(part_ledger& ledger, std::uint64_t part, std::uint64_t count)
{
    for (std::uint64_t i = 1; i <= count; ++i)
        ledger.add(end_of(part, i, 1000 + i), start + std::chrono::seconds(i));
}

void merge(part_ledger& into, const part_ledger& from, instant now)
{
    for (const part_crash_record& record : from.crashes(now, 1000))
        into.add(record, now);
}

} // namespace

Test(part_ledger, three_ends_at_three_moments_block_a_part)
{
    part_ledger ledger({});
    end_lives(ledger, bad, 2);
    cr_assert(ledger.blamed().empty());
    end_lives(ledger, bad, 3);
    cr_assert(ledger.blamed().at(fingerprint(bad)).tries_at_once);
    end_lives(ledger, bad, 4);
    cr_assert_eq(ledger.blamed().at(fingerprint(bad)).until, start + 64s);
    end_lives(ledger, bad, 9);
    cr_assert_eq(ledger.blamed().at(fingerprint(bad)).until, start + 9s + 8min);
}

Test(part_ledger, ends_at_one_moment_do_not_block_a_part)
{
    part_ledger ledger({});
    for (std::uint64_t life = 1; life <= 20; ++life)
        ledger.add(end_of(bad, life, life), start);
    cr_assert(ledger.blamed().empty());
}

/// Guards against requests with a bad part that come together: their ends are
/// of one moment, however many there are.
Test(part_ledger, many_ends_at_one_moment_block_a_part_that_never_ran_well)
{
    part_ledger ledger({});
    for (std::uint64_t life = 1; life <= 6; ++life)
        ledger.add(end_of(bad, life, life), start);
    ledger.tick(start + 1900ms);
    cr_assert(ledger.blamed().empty());
    ledger.tick(start + 2s);
    cr_assert_not(ledger.blamed().at(fingerprint(bad)).tries_at_once);
    cr_assert_eq(ledger.blamed().at(fingerprint(bad)).until, start);
    ledger.add(end_of(bad, 7, 7), start + 5s);
    cr_assert_eq(ledger.blamed().at(fingerprint(bad)).until, start + 65s);
}

Test(part_ledger, many_ends_at_one_moment_leave_a_part_that_ran_well)
{
    part_ledger ledger({});
    for (std::uint64_t life = 1; life <= 6; ++life)
    {
        part_crash_record record = end_of(shared, life, life);
        record.ran_well = true;
        ledger.add(record, start);
    }
    ledger.tick(start + 5s);
    cr_assert(ledger.blamed().empty());
}

Test(part_ledger, ends_under_one_request_do_not_block_its_parts)
{
    part_ledger ledger({});
    for (std::uint64_t life = 1; life <= 5; ++life)
        ledger.add(end_of(bad, life, 1000), start + std::chrono::seconds(life));
    cr_assert(ledger.blamed().empty());
}

Test(part_ledger, an_end_is_explained_by_one_part)
{
    part_ledger ledger({});
    end_lives(ledger, bad, 5);
    end_lives(ledger, shared, 4);
    cr_assert(ledger.blamed().contains(fingerprint(bad)));
    cr_assert_not(ledger.blamed().contains(fingerprint(shared)));
    cr_assert_eq(ledger.explained().size(), 5);
}

Test(part_ledger, a_part_that_had_run_well_is_blamed_last)
{
    part_ledger ledger({});
    end_lives(ledger, bad, 3);
    for (std::uint64_t i = 1; i <= 5; ++i)
    {
        part_crash_record record = end_of(shared, i, 1000 + i);
        record.ran_well = true;
        ledger.add(record, start + std::chrono::seconds(i));
    }
    cr_assert(ledger.blamed().contains(fingerprint(bad)));
    cr_assert_not(ledger.blamed().contains(fingerprint(shared)));
}

Test(part_ledger, only_an_answer_that_began_later_clears_an_end)
{
    part_ledger ledger({});
    end_lives(ledger, bad, 3);
    cr_assert_eq(ledger.clear(fingerprint(bad), start + 1s), 0);
    cr_assert_eq(ledger.clear(fingerprint(bad), start + 2500ms), 2);
    cr_assert(ledger.blamed().empty());
}

Test(part_ledger, ledgers_that_merge_in_any_order_agree)
{
    part_ledger one({});
    part_ledger two({});
    end_lives(one, bad, 4);
    end_lives(two, shared, 3);
    two.add(end_of(bad, 1, 5), start + 1s);
    two.clear(fingerprint(shared), start + 2500ms);
    cr_assert_neq(one.digest(), two.digest());
    merge(one, two, start + 10s);
    merge(two, one, start + 11s);
    merge(one, two, start + 12s);
    cr_assert_eq(one.digest(), two.digest());
    cr_assert_eq(one.blamed().size(), two.blamed().size());
    cr_assert(two.blamed().contains(fingerprint(bad)));
}

Test(part_ledger, a_flood_of_parts_does_not_displace_the_worst)
{
    part_ledger::options settings;
    settings.max_records = 100;
    part_ledger ledger(settings);
    end_lives(ledger, bad, 3);
    for (std::uint64_t part = 100; part < 5000; ++part)
        ledger.add(end_of(part, part, part), start + 4s);
    cr_assert(ledger.blamed().contains(fingerprint(bad)));
    cr_assert_leq(ledger.crashes(start + 4s, 10'000).size(), 100);
}

Test(part_ledger, malformed_records_are_ignored)
{
    part_ledger ledger({});
    part_crash_record record = end_of(bad, 1, 1);
    record.age_us = -1;
    cr_assert_not(ledger.add(record, start));
    cr_assert_not(ledger.add(end_of(0, 1, 1), start));
    record = end_of(bad, 1, 1);
    record.evidence = static_cast<crash_evidence>(9);
    cr_assert_not(ledger.add(record, start));
    record = end_of(bad, 1, 1);
    record.age_us = duration(1h).count();
    cr_assert_not(ledger.add(record, start));
    cr_assert(ledger.empty());
}

Test(part_ledger, ends_are_forgotten)
{
    part_ledger ledger({});
    end_lives(ledger, bad, 1);
    cr_assert_not(ledger.tick(start + 50s));
    cr_assert(ledger.tick(start + 62s));
    cr_assert(ledger.empty());
}
