#include "core/dissemination/topic_progress.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

const instant start{std::chrono::seconds(100)};

/// Has read up to offset 50 at the start.
topic_progress reader(duration rest = duration::zero())
{
    topic_progress made({900ms, rest});
    made.read(50, start);
    return made;
}

} // namespace

Test(topic_progress, before_the_first_read_nothing_told_counts)
{
    topic_progress progress({900ms, 0ms});
    cr_assert(!progress.heard(0, 10, start));
    cr_assert(!progress.next());
    cr_assert(progress.due() <= start);
}

Test(topic_progress, without_words_it_reads_when_its_knowledge_is_old)
{
    topic_progress progress = reader();
    cr_assert(progress.due() == start + 900ms);
    progress.read(50, start + 905ms);
    cr_assert(progress.due() == start + 1805ms);
}

/// Three hundred routers that each read the store asked it 530 times a second.
Test(topic_progress, who_hears_the_reader_never_reads)
{
    topic_progress progress = reader();
    std::uint64_t next = 50;
    for (instant now = start; now < start + 60s; now += 300ms)
    {
        cr_assert(progress.due() > now);
        const std::uint64_t from = next;
        next += 30;
        const auto first = progress.heard(from, next, now);
        cr_assert_eq(first.value(), from);
    }
    cr_assert_eq(progress.next().value(), next);
}

Test(topic_progress, a_word_that_was_lost_leaves_a_gap_which_is_read_at_once)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(60, 70, start + 300ms));
    cr_assert(progress.behind());
    cr_assert_eq(progress.next().value(), 50);
    cr_assert(progress.due() <= start + 300ms);
    progress.read(72, start + 310ms);
    cr_assert(!progress.behind());
    cr_assert(progress.due() == start + 310ms + 900ms);
}

/// Configurations that come ten a second are read together.
Test(topic_progress, news_in_quick_succession_is_read_together)
{
    topic_progress progress = reader(700ms);
    cr_assert(!progress.heard(51, 51, start + 100ms));
    cr_assert(progress.due() == start + 700ms);
    cr_assert(!progress.heard(53, 53, start + 300ms));
    cr_assert(progress.due() == start + 700ms);
}

/// After its own read a router knows more than the last word accounts for.
Test(topic_progress, a_word_that_overlaps_gives_what_is_new)
{
    topic_progress progress = reader();
    const auto first = progress.heard(30, 60, start + 10ms);
    cr_assert_eq(first.value(), 50);
    cr_assert_eq(progress.next().value(), 60);
}

Test(topic_progress, a_teller_that_knows_less_vouches_for_nothing)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(10, 40, start + 800ms));
    cr_assert(progress.due() == start + 900ms);
}

Test(topic_progress, one_that_knows_the_same_vouches_for_its_time)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(50, 50, start + 800ms));
    cr_assert(progress.due() == start + 1700ms);
}

/// The reader was cut off from the store: it goes on talking, and what it says
/// grows old.
Test(topic_progress, an_old_word_delays_nothing)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(50, 50, start - 5s));
    cr_assert(progress.due() == start + 900ms);
}

/// A store that lags behind what was told isn't asked without a pause.
Test(topic_progress, a_read_that_gives_less_than_announced_is_not_repeated)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(60, 70, start + 300ms));
    progress.read(55, start + 310ms);
    cr_assert(!progress.behind());
    cr_assert(progress.due() == start + 310ms + 900ms);
}

/// A copy of a router that was behind, too, ended the search for what all
/// others had.
Test(topic_progress, what_a_copy_lacks_is_still_missing)
{
    topic_progress progress = reader();
    cr_assert(!progress.heard(60, 70, start + 100ms));
    progress.copied(65, start + 200ms);
    cr_assert_eq(progress.next().value(), 65);
    cr_assert(progress.behind());
    progress.copied(70, start + 300ms);
    cr_assert_not(progress.behind());
    cr_assert(progress.due() == start + 1200ms);
}
