#include "core/dissemination/topic_progress.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

const instant start{std::chrono::seconds(100)};

/// A router that has read up to offset 50 at `start`.
topic_progress reader(duration rest = duration::zero())
{
    topic_progress made({900ms, rest});
    made.read(50, start);
    return made;
}

} // namespace

Test(topic_progress, announcements_before_the_first_read_are_ignored)
{
    topic_progress progress({900ms, 0ms});
    cr_assert(!progress.apply_announcement(0, 10, start));
    cr_assert(!progress.next());
    cr_assert(progress.next_read_at() <= start);
}

Test(topic_progress, without_announcements_it_reads_when_its_data_is_old)
{
    topic_progress progress = reader();
    cr_assert(progress.next_read_at() == start + 900ms);
    progress.read(50, start + 905ms);
    cr_assert(progress.next_read_at() == start + 1805ms);
}

/// 300 routers that each read the store sent it 530 requests a second.
Test(topic_progress, a_router_that_receives_all_announcements_never_reads)
{
    topic_progress progress = reader();
    std::uint64_t next = 50;
    for (instant now = start; now < start + 60s; now += 300ms)
    {
        cr_assert(progress.next_read_at() > now);
        const std::uint64_t from = next;
        next += 30;
        const auto first = progress.apply_announcement(from, next, now);
        cr_assert_eq(first.value(), from);
    }
    cr_assert_eq(progress.next().value(), next);
}

Test(topic_progress, a_gap_after_a_lost_announcement_is_read_at_once)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(60, 70, start + 300ms));
    cr_assert(progress.is_behind());
    cr_assert_eq(progress.next().value(), 50);
    cr_assert(progress.next_read_at() <= start + 300ms);
    progress.read(72, start + 310ms);
    cr_assert(!progress.is_behind());
    cr_assert(progress.next_read_at() == start + 310ms + 900ms);
}

/// Several configurations that are announced within one second are read
/// together, even at ten a second.
Test(topic_progress, changes_in_quick_succession_are_read_together)
{
    topic_progress progress = reader(700ms);
    cr_assert(!progress.apply_announcement(51, 51, start + 100ms));
    cr_assert(progress.next_read_at() == start + 700ms);
    cr_assert(!progress.apply_announcement(53, 53, start + 300ms));
    cr_assert(progress.next_read_at() == start + 700ms);
}

/// After a read of its own, a router knows more than the last announcement.
Test(topic_progress, only_the_new_part_of_an_overlapping_announcement_counts)
{
    topic_progress progress = reader();
    const auto first = progress.apply_announcement(30, 60, start + 10ms);
    cr_assert_eq(first.value(), 50);
    cr_assert_eq(progress.next().value(), 60);
}

Test(topic_progress, an_announcement_from_a_router_that_is_behind_is_ignored)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(10, 40, start + 800ms));
    cr_assert(progress.next_read_at() == start + 900ms);
}

Test(topic_progress, an_announcement_of_the_same_offset_refreshes_the_data)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(50, 50, start + 800ms));
    cr_assert(progress.next_read_at() == start + 1700ms);
}

/// A sender that is disconnected from the store goes on announcing data of
/// growing age.
Test(topic_progress, an_old_announcement_does_not_delay_the_next_read)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(50, 50, start - 5s));
    cr_assert(progress.next_read_at() == start + 900ms);
}

/// A store that lags behind the announcements must not be read over and over
/// without a pause.
Test(topic_progress, a_read_that_gives_less_than_announced_is_not_repeated)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(60, 70, start + 300ms));
    progress.read(55, start + 310ms);
    cr_assert(!progress.is_behind());
    cr_assert(progress.next_read_at() == start + 310ms + 900ms);
}

/// A copy from a router that was behind, too, ended the search for changes that
/// all other routers had.
Test(topic_progress, announced_changes_not_in_a_copy_are_still_missing)
{
    topic_progress progress = reader();
    cr_assert(!progress.apply_announcement(60, 70, start + 100ms));
    progress.copied(65, start + 200ms);
    cr_assert_eq(progress.next().value(), 65);
    cr_assert(progress.is_behind());
    progress.copied(70, start + 300ms);
    cr_assert_not(progress.is_behind());
    cr_assert(progress.next_read_at() == start + 1200ms);
}
