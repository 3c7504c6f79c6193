#include "core/crashes/crash_detector.hpp"
#include "core/crashes/crash_ledger.hpp"

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

server_life life(const char* server, std::int64_t born_ms = 1)
{
    return life_of(server, born_ms);
}

/// A detector whose crashes go to a ledger.
struct one_router
{
    void broken(
        fingerprint request,
        server_life which,
        duration when,
        run_end end = run_end::connection)
    {
        this->broken_after(request, which, when, when, end);
    }

    void broken_after(
        fingerprint request,
        server_life which,
        duration sent,
        duration when,
        run_end end)
    {
        this->detector.run_broken(
            {request, {}, {}, {}}, which, end, at(sent), at(when));
        this->record(when);
    }

    void ended(
        server_life which,
        duration when,
        crash_evidence evidence = crash_evidence::removed)
    {
        this->detector.life_ended(which, evidence, at(when));
        this->record(when);
    }

    void reached(server_life which, duration when)
    {
        this->detector.life_reached(which, at(when));
    }

    void record(duration when)
    {
        for (const detected_crash& crash : this->detector.take_crashes())
            this->ledger.add(
                crash_record{
                    crash.content.request.value,
                    crash.life.value,
                    (at(when) - crash.broken_at).count(),
                    crash.evidence,
                    false},
                at(when));
    }

    bool blocks(fingerprint request) const
    {
        return this->ledger.blocking_lives(request) != 0;
    }

    crash_detector detector{crash_detector::options()};
    crash_ledger ledger{crash_ledger::options()};
};

} // namespace

Test(crash_detector, a_request_that_crashed_two_servers_is_blocked)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.ended(life("e1"), 2s);
    test.broken(bad, life("e2"), 3s);
    cr_assert_not(test.blocks(bad));
    test.ended(life("e2"), 5s);
    cr_assert(test.blocks(bad));
}

Test(crash_detector, broken_connections_alone_do_not_block)
{
    one_router test;
    for (const char* server : {"e1", "e2", "e3", "e4"})
        test.broken(bad, life(server), 0s);
    test.ended(life("e5"), 1s);
    cr_assert_not(test.blocks(bad));
}

Test(crash_detector, one_life_that_ended_counts_once)
{
    one_router test;
    for (const duration when : {0s, 3s})
    {
        test.broken(bad, life("e1"), when);
        test.ended(life("e1"), when + 1s);
    }
    cr_assert_not(test.blocks(bad));
}

Test(crash_detector, two_lives_of_one_server_count_twice)
{
    one_router test;
    test.broken(bad, life("e1", 1), 0s);
    test.ended(life("e1", 1), 1s, crash_evidence::restarted);
    test.broken(bad, life("e1", 2), 3s);
    test.ended(life("e1", 2), 4s, crash_evidence::restarted);
    cr_assert(test.blocks(bad));
}

Test(crash_detector, a_run_that_breaks_after_the_end_became_known_counts)
{
    one_router test;
    for (const char* server : {"e1", "e2"})
    {
        test.ended(life(server), 0s, crash_evidence::replaced);
        test.broken(bad, life(server), 1s);
    }
    cr_assert(test.blocks(bad));
}

Test(crash_detector, a_request_that_ran_on_one_crashed_server_is_not_blocked)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.broken(other, life("e1"), 0s);
    test.ended(life("e1"), 1s);
    test.broken(bad, life("e2"), 2s);
    test.ended(life("e2"), 3s);
    cr_assert(test.blocks(bad));
    cr_assert_not(test.blocks(other));
}

Test(crash_detector, a_server_lost_long_after_it_was_reached_does_not_count)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.ended(life("e1"), 1s);
    test.broken(bad, life("e2"), 2s);
    test.reached(life("e2"), 2s);
    test.ended(life("e2"), 11s);
    cr_assert_not(test.blocks(bad));
}

Test(crash_detector, a_server_whose_end_is_known_late_counts)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.ended(life("e1"), 1s);
    test.broken(bad, life("e2"), 2s);
    test.ended(life("e2"), 40s);
    cr_assert(test.blocks(bad));
}

Test(crash_detector, runs_that_ended_in_silence_count_with_the_registry)
{
    one_router test;
    test.broken(bad, life("e1"), 0s, run_end::silence);
    test.ended(life("e1"), 3600ms);
    test.broken(bad, life("e2"), 1s, run_end::caller);
    test.ended(life("e2"), 4600ms);
    cr_assert(test.blocks(bad));
}

Test(crash_detector, a_silent_run_during_which_the_server_ended_counts)
{
    one_router test;
    for (const char* server : {"e1", "e2"})
    {
        test.ended(life(server), 3600ms);
        test.broken_after(bad, life(server), 0s, 11s, run_end::silence);
    }
    cr_assert(test.blocks(bad));
}

Test(crash_detector, a_silent_run_that_began_long_after_the_end_does_not_count)
{
    one_router test;
    for (const char* server : {"e1", "e2"})
    {
        test.ended(life(server), 0s);
        test.broken_after(bad, life(server), 1s, 11s, run_end::silence);
    }
    cr_assert_not(test.blocks(bad));
}

Test(crash_detector, an_answer_that_its_connection_ended_is_harmless_if_reached)
{
    one_router test;
    test.broken(bad, life("e1"), 0s, run_end::closed);
    cr_assert(test.detector.take_harmless().empty());
    test.reached(life("e1"), 1ms);
    cr_assert_eq(test.detector.take_harmless().size(), 1);
    test.ended(life("e1"), 2ms);
    cr_assert(test.ledger.empty());
    test.broken(bad, life("e2"), 0s, run_end::closed);
    test.ended(life("e2"), 1ms, crash_evidence::refused);
    cr_assert_not(test.ledger.empty());
}

Test(crash_detector, a_silent_run_long_before_the_end_does_not_count)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.ended(life("e1"), 1s);
    test.broken(bad, life("e2"), 2s, run_end::silence);
    test.ended(life("e2"), 8s);
    cr_assert_not(test.blocks(bad));
}

Test(crash_detector, unreachable_servers_block_one_crash_later)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.ended(life("e1"), 1s, crash_evidence::unreachable);
    test.broken(bad, life("e2"), 1s);
    test.ended(life("e2"), 2s, crash_evidence::unreachable);
    cr_assert_not(test.blocks(bad));
    test.ended(life("e1"), 3s);
    cr_assert_not(test.blocks(bad));
    test.broken(bad, life("e3"), 3s);
    test.ended(life("e3"), 4s, crash_evidence::unreachable);
    cr_assert(test.blocks(bad));
}

Test(crash_detector, a_block_is_forgotten)
{
    one_router test;
    test.broken(bad, life("e1"), 0s);
    test.broken(bad, life("e2"), 0s);
    test.ended(life("e1"), 1s);
    test.ended(life("e2"), 1s);
    cr_assert_not(test.ledger.tick(at(10min)));
    cr_assert(test.ledger.tick(at(10min + 1ms)));
    cr_assert_not(test.blocks(bad));
    cr_assert(test.ledger.empty());
}
