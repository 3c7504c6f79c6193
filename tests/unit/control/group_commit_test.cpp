#include "core/recovery/group_commit.hpp"

#include <roseworks/codec.hpp>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::detail;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1000s};

group_commit make_commit(std::size_t max_batch_bytes = 1 << 20)
{
    group_commit::options settings;
    settings.author = author_id(5);
    settings.incarnation = 9;
    settings.retry_min = 50ms;
    settings.retry_max = 5s;
    settings.max_batch_bytes = max_batch_bytes;
    return group_commit(settings);
}

std::vector<append_batch> flush(group_commit& commit, instant now)
{
    std::vector<control_command> out;
    commit.flush(now, out);
    std::vector<append_batch> batches;
    for (control_command& command : out)
    {
        batches.push_back(std::get<append_batch>(std::move(command)));
    }
    return batches;
}

} // namespace

Test(group_commit, flushes_at_once_and_gathers_while_one_is_in_flight)
{
    group_commit commit = make_commit();
    commit.submit(session_renew{session_id(1)}, 1);
    const auto first = flush(commit, start);
    cr_assert_eq(first.size(), 1);
    cr_expect_eq(first[0].entries.size(), 1);

    commit.submit(session_renew{session_id(1)}, 2);
    commit.submit(session_renew{session_id(1)}, 3);
    cr_expect(flush(commit, start).empty());
    commit.answered(first[0].batch, append_outcome::done, start);
    const auto second = flush(commit, start);
    cr_assert_eq(second.size(), 1);
    cr_expect_eq(second[0].entries.size(), 2);
    cr_expect_not(commit.idle(), "none was read back");
}

Test(group_commit, sends_the_same_bytes_again_with_growing_pauses)
{
    group_commit commit = make_commit();
    commit.submit(session_renew{session_id(1)}, 1);
    auto batch = flush(commit, start);
    const auto bytes = batch[0].entries;
    instant now = start;
    duration previous{};
    for (int attempt = 0; attempt < 12; ++attempt)
    {
        const bool refused = attempt % 2 == 0;
        commit.answered(
            batch[0].batch,
            refused ? append_outcome::refused : append_outcome::unknown,
            now);
        cr_expect(flush(commit, now).empty(), "it must wait");
        const duration pause = commit.next_tick() - now;
        cr_expect_leq(pause.count(), duration(5s).count());
        cr_expect_geq(pause.count(), (previous / 2).count());
        previous = pause;
        now = commit.next_tick();
        batch = flush(commit, now);
        cr_assert_eq(batch.size(), 1);
        cr_expect(batch[0].entries == bytes);
    }
    cr_expect_geq(previous.count(), duration(2500ms).count());
}

Test(group_commit, a_record_read_back_is_not_sent_again)
{
    group_commit commit = make_commit();
    const std::uint64_t sequence =
        commit.submit(session_renew{session_id(1)}, 1);
    const auto batch = flush(commit, start);
    commit.answered(batch[0].batch, append_outcome::unknown, start);
    const record_id id{author_id(5), 9, sequence};
    cr_expect(commit.read_back(id) == start);
    cr_expect_not(commit.read_back(id).has_value(), "only the first counts");
    cr_expect(flush(commit, start + 10s).empty());
    cr_expect(commit.idle());
}

Test(group_commit, a_late_answer_to_an_earlier_attempt_is_ignored)
{
    group_commit commit = make_commit();
    commit.submit(session_renew{session_id(1)}, 1);
    const auto first = flush(commit, start);
    commit.answered(first[0].batch, append_outcome::unknown, start);
    const auto second = flush(commit, start + 1s);
    cr_assert_eq(second.size(), 1);
    commit.answered(first[0].batch, append_outcome::unknown, start + 1s);
    cr_expect(flush(commit, start + 10s).empty(), "the second is in flight");
}

Test(group_commit, keeps_appends_within_their_limit)
{
    group_commit commit = make_commit(600);
    for (int index = 0; index < 50; ++index)
    {
        commit.submit(session_renew{session_id(1)}, index);
    }
    std::size_t entries = 0;
    for (auto batch = flush(commit, start); !batch.empty();
         batch = flush(commit, start))
    {
        std::size_t bytes = 0;
        for (const auto& entry : batch[0].entries)
        {
            bytes += entry.size();
        }
        cr_expect_leq(bytes, 600);
        entries += batch[0].entries.size();
        commit.answered(batch[0].batch, append_outcome::done, start);
    }
    cr_expect_eq(entries, 50);
}

Test(group_commit, only_what_was_never_handed_out_can_be_withdrawn)
{
    group_commit commit = make_commit();
    const std::uint64_t sent = commit.submit(session_renew{session_id(1)}, 1);
    flush(commit, start);
    const std::uint64_t queued = commit.submit(session_renew{session_id(1)}, 2);
    cr_expect_not(commit.withdraw(sent));
    cr_expect(commit.withdraw(queued));
    cr_expect(commit.pending(sent));
    cr_expect_not(commit.pending(queued));
}
