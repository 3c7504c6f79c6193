#include "core/hedging/attempt_race.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start(1000s);

} // namespace

Test(attempt_race, the_first_output_wins_and_the_other_attempt_is_closed)
{
    for (const race_side side : {race_side::first, race_side::second})
    {
        const race_side other =
            side == race_side::first ? race_side::second : race_side::first;
        attempt_race race(true, start);
        cr_assert(race.output_began(side, start + 10ms));
        cr_assert_eq(*race.winner(), side);
        cr_assert(race.must_close(other));
        cr_assert_not(race.output_began(other, start + 10ms));
        cr_assert_eq(*race.winner(), side);
    }
}

/// The platform takes streams that run beside each other for longer as two.
Test(attempt_race, two_streams_run_at_most_300_ms_beside_each_other)
{
    attempt_race race(true, start);
    cr_assert_eq(*race.overlap_ends(), start + 300ms);
    race.tick(start + 299ms);
    cr_assert(race.is_running(race_side::first));
    race.tick(start + 300ms);
    cr_assert(race.must_close(race_side::first));
    cr_assert(race.is_running(race_side::second));
    cr_assert_not(race.overlap_ends());
    cr_assert(race.output_began(race_side::second, start + 2s));
}

/// A late timer must not lengthen the overlap.
Test(attempt_race, output_after_the_overlap_is_dropped_without_a_tick)
{
    attempt_race race(true, start);
    cr_assert_not(race.output_began(race_side::first, start + 300ms));
    cr_assert(race.output_began(race_side::second, start + 300ms));
}

Test(attempt_race, other_responses_run_until_one_answers)
{
    attempt_race race(false, start);
    cr_assert_not(race.overlap_ends());
    race.tick(start + 4s);
    cr_assert(race.output_began(race_side::first, start + 4s));
    cr_assert(race.must_close(race_side::second));
}

Test(attempt_race, the_other_attempt_goes_on_alone_after_a_failure)
{
    for (const race_side side : {race_side::first, race_side::second})
    {
        const race_side other =
            side == race_side::first ? race_side::second : race_side::first;
        attempt_race race(true, start);
        race.ended(side);
        cr_assert_not(race.overlap_ends());
        cr_assert_not(race.has_failed());
        cr_assert(race.output_began(other, start + 1s));
        race.ended(side);
        cr_assert_eq(*race.winner(), other);
    }
}

Test(attempt_race, a_race_without_output_has_failed)
{
    attempt_race race(true, start);
    race.tick(start + 300ms);
    race.ended(race_side::second);
    cr_assert(race.has_failed());
    cr_assert_not(race.winner());
}

/// Any order of events: an answer assembled from two attempts is never possible
/// because at most one attempt ever wins, and only once.
Test(attempt_race, at_most_one_attempt_wins_whatever_happens)
{
    std::mt19937_64 random(1);
    for (int run = 0; run < 200'000; ++run)
    {
        attempt_race race(random() % 2 == 0, start);
        instant now = start;
        int wins = 0;
        for (int step = 0; step < 6; ++step)
        {
            now += std::chrono::milliseconds(random() % 150);
            const race_side side =
                random() % 2 == 0 ? race_side::first : race_side::second;
            const auto action = random() % 3;
            if (action == 0)
                wins += race.output_began(side, now) ? 1 : 0;
            else if (action == 1)
                race.ended(side);
            else
                race.tick(now);
            cr_assert_leq(wins, 1);
            cr_assert_eq(race.winner().has_value(), wins == 1);
            const bool both_run = race.is_running(race_side::first) &&
                                  race.is_running(race_side::second);
            cr_assert_not(race.winner() && both_run);
            if (race.winner())
                cr_assert_not(race.must_close(*race.winner()));
        }
    }
}
