#include "core/request/progress_estimator.hpp"
#include "core/request/stream_position.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr duration ceiling = 30s;
const instant start{};

request_profile work(std::string_view target, std::uint32_t tokens = 16)
{
    return {target, false, 100, tokens};
}

void record_answers(
    progress_estimator& progress, request_profile what, duration first_byte)
{
    for (int i = 0; i < 20; ++i)
        progress.record_first_byte(what, first_byte, start);
}

} // namespace

Test(progress, without_enough_samples_the_limit_is_the_ceiling)
{
    progress_estimator progress;
    progress.record_first_byte(work("agri-lm"), 100ms, start);
    cr_assert(
        progress.first_byte_limit(
            work("agri-lm"), connection_kind::reused, ceiling) == ceiling);
}

Test(progress, limit_depends_on_size_and_connection)
{
    progress_estimator progress;
    record_answers(progress, work("agri-lm"), 400ms);
    record_answers(progress, work("agri-lm", 2000), 8s);
    const auto limit = [&](std::uint32_t tokens, connection_kind on)
    {
        return progress.first_byte_limit(work("agri-lm", tokens), on, ceiling);
    };
    const duration small = limit(16, connection_kind::reused);
    cr_assert(small >= 800ms && small < 1s);
    cr_assert(limit(2000, connection_kind::reused) >= 16s);
    cr_assert(limit(16, connection_kind::fresh) == 4 * small);
    cr_assert(limit(2000, connection_kind::fresh) == ceiling);
}

Test(progress, limit_is_not_below_the_minimum)
{
    progress_estimator progress;
    record_answers(progress, work("scan"), 2ms);
    cr_assert(
        progress.first_byte_limit(
            work("scan"), connection_kind::reused, ceiling) ==
        progress_estimator::min_limit);
}

// Without the backoff, requests to a server that became slow would time out
// again and again under the old limit.
Test(progress, limit_doubles_until_an_answer_is_in_time)
{
    progress_estimator progress;
    record_answers(progress, work("agri-lm"), 100ms);
    const auto limit = [&]
    {
        return progress.first_byte_limit(
            work("agri-lm"), connection_kind::reused, ceiling);
    };
    const duration first = limit();
    progress.record_timeout(work("agri-lm"));
    progress.record_timeout(work("agri-lm"));
    cr_assert(limit() == 4 * first);
    progress.record_first_byte(work("agri-lm"), 3s, start);
    cr_assert(limit() > 4 * first);
    progress.record_first_byte(work("agri-lm"), 100ms, start);
    progress_estimator reference;
    record_answers(reference, work("agri-lm"), 100ms);
    reference.record_first_byte(work("agri-lm"), 3s, start);
    reference.record_first_byte(work("agri-lm"), 100ms, start);
    cr_assert(
        limit() == reference.first_byte_limit(
                       work("agri-lm"), connection_kind::reused, ceiling));
}

Test(progress, number_of_estimates_is_bounded)
{
    progress_estimator progress;
    record_answers(progress, work("first"), 100ms);
    for (std::size_t i = 0; i < progress_estimator::max_entries; ++i)
    {
        const std::string name = "model-" + std::to_string(i);
        progress.record_first_byte(work(name), 100ms, start + 1s);
    }
    cr_assert(
        progress.first_byte_limit(
            work("first"), connection_kind::reused, ceiling) == ceiling);
}

Test(progress, event_limit_follows_the_gaps_of_the_stream)
{
    stream_gap_estimator pace;
    cr_assert(pace.limit(10s) == 10s);
    instant now = start;
    for (int i = 0; i < 10; ++i)
        pace.record_event(now += 30ms);
    cr_assert(pace.limit(10s) == stream_gap_estimator::min_limit);
    for (int i = 0; i < 60; ++i)
        pace.record_event(now += 600ms);
    cr_assert(pace.limit(10s) >= 4s && pace.limit(10s) < 10s);
}

Test(position, a_run_continues_with_the_next_event_of_the_same_generation)
{
    stream_position position;
    cr_assert(position.begin_run("\"a\""));
    cr_assert(position.accept("0"));
    cr_assert(position.accept("1"));
    cr_assert(position.resumable());
    cr_assert_eq(position.last_id(), 1);
    cr_assert(position.begin_run("\"a\""));
    cr_assert(position.accept("2"));
    cr_assert(position.resumable());
}

Test(position, refuses_another_generation)
{
    stream_position position;
    position.begin_run("\"a\"");
    position.accept("0");
    cr_assert(!position.begin_run("\"b\""));
    cr_assert(!position.resumable());
}

Test(position, refuses_a_missing_or_duplicate_event)
{
    for (const char* id : {"0", "1", "3", "", "2x", "-2"})
    {
        stream_position position;
        position.begin_run("\"a\"");
        position.accept("0");
        position.accept("1");
        position.begin_run("\"a\"");
        cr_assert(!position.accept(id), "%s", id);
        cr_assert(!position.resumable());
    }
}

Test(position, streams_without_tag_or_ids_are_passed_on_but_not_resumable)
{
    stream_position untagged;
    cr_assert(untagged.begin_run(""));
    cr_assert(untagged.accept("0"));
    cr_assert(!untagged.resumable());
    stream_position unnumbered;
    unnumbered.begin_run("\"a\"");
    cr_assert(unnumbered.accept("0"));
    cr_assert(unnumbered.accept(""));
    cr_assert(!unnumbered.resumable());
}

Test(position, a_run_without_events_is_not_continued)
{
    stream_position position;
    position.begin_run("\"a\"");
    cr_assert(position.begin_run("\"b\""));
    cr_assert(position.accept("7"));
    cr_assert(position.resumable());
}
