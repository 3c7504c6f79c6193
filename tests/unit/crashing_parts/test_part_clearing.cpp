#include "core/crashes/crash_tracker.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr instant start(100s);
constexpr prompt_part part{fingerprint(7), false};

run_content run_of(std::uint64_t request, std::optional<instant> began)
{
    return {fingerprint(request), {part}, began, 200ms};
}

/// Ends three servers under requests with the part, one second apart.
void block_part(crash_tracker& tracker)
{
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        const instant now = start + std::chrono::seconds(i);
        const server_life life(i);
        tracker.run_broken(run_of(i, {}), life, run_end::connection, now, now);
        tracker.life_ended(life, crash_evidence::refused, now);
    }
}

bool is_blocked(const crash_tracker& tracker)
{
    return tracker.blocked()->blocked_until.contains(part.id);
}

} // namespace

/// A service may answer without a length or chunks only.
Test(part_clearing, a_long_answer_that_its_connection_ends_clears_its_parts)
{
    crash_tracker tracker({.router = "r"}, start);
    block_part(tracker);
    cr_assert(is_blocked(tracker));
    const server_life sound(9);
    tracker.run_broken(
        run_of(9, start + 4s), sound, run_end::closed, start + 4s, start + 30s);
    cr_assert(is_blocked(tracker));
    tracker.life_reached(sound, start + 30s);
    cr_assert_not(is_blocked(tracker));
}

Test(part_clearing, an_answer_that_began_before_the_ends_clears_nothing)
{
    crash_tracker tracker({.router = "r"}, start);
    block_part(tracker);
    const prompt_part answered[] = {part};
    tracker.parts_answered(answered, start, start + 5s);
    cr_assert(is_blocked(tracker));
}

Test(part_clearing, a_run_that_wrote_for_long_does_not_accuse_its_parts)
{
    crash_tracker tracker({.router = "r"}, start);
    for (std::uint64_t i = 1; i <= 5; ++i)
    {
        const instant now = start + std::chrono::seconds(10 * i);
        const server_life life(i);
        tracker.run_broken(
            run_of(i, now - 5s), life, run_end::connection, now, now);
        tracker.life_ended(life, crash_evidence::refused, now);
    }
    cr_assert_not(is_blocked(tracker));
}
