#include "adapters/forward/sse_event_splitter.hpp"

#include <criterion/criterion.h>

using roseworks::forward::sse_event_splitter;

Test(sse_event_splitter, forwards_complete_events_unchanged)
{
    sse_event_splitter splitter(1000);
    cr_assert_eq(splitter.feed("id: 1\nda"), "");
    cr_assert_eq(splitter.feed("ta: x\n\nid: 2\r\n"), "id: 1\ndata: x\n\n");
    cr_assert_eq(splitter.last_id(), "1");
    cr_assert_eq(splitter.feed("data: y\r\n\r\n"), "id: 2\r\ndata: y\r\n\r\n");
    cr_assert_eq(splitter.last_id(), "2");
    cr_assert_eq(splitter.event_count(), 2);
}

Test(sse_event_splitter, an_incomplete_event_does_not_change_the_last_id)
{
    sse_event_splitter splitter(1000);
    splitter.feed("id: 1\ndata: x\n\nid: 2\ndata: y\n");
    cr_assert_eq(splitter.last_id(), "1");
    splitter.discard_incomplete();
    cr_assert_eq(splitter.feed("id: 2\ndata: y\n\n"), "id: 2\ndata: y\n\n");
    cr_assert_eq(splitter.last_id(), "2");
}

Test(sse_event_splitter, take_remainder_returns_the_bytes_after_the_last_event)
{
    sse_event_splitter splitter(1000);
    splitter.feed("data: x\n\n: ping\n");
    cr_assert_eq(splitter.take_remainder(), ": ping\n");
    cr_assert_eq(splitter.take_remainder(), "");
}

Test(sse_event_splitter, an_unfinished_line_or_event_is_inside_an_event)
{
    for (const char* tail : {"t", "data: y", "data: y\n", "id: 2\n", ":", "\r"})
    {
        sse_event_splitter splitter(1000);
        splitter.feed("data: x\n\n");
        cr_expect_not(splitter.is_inside_event());
        splitter.feed(tail);
        cr_expect(splitter.is_inside_event(), "%s", tail);
        splitter.discard_incomplete();
        cr_expect_not(splitter.is_inside_event());
    }
}

Test(sse_event_splitter, a_comment_line_is_not_inside_an_event)
{
    sse_event_splitter splitter(1000);
    splitter.feed("data: x\n\n: ping\n");
    cr_expect_not(splitter.is_inside_event());
    splitter.feed("\n");
    cr_expect_eq(splitter.event_count(), 1);
    splitter.feed("data: y\n: ping\n");
    cr_expect(splitter.is_inside_event());
}

Test(sse_event_splitter, lines_may_end_with_cr)
{
    sse_event_splitter splitter(1000);
    cr_assert_eq(splitter.feed("id: 1\rdata: x\r"), "");
    cr_assert_eq(splitter.feed("\r"), "id: 1\rdata: x\r\r");
    cr_assert_eq(splitter.last_id(), "1");
    cr_assert_eq(splitter.feed("data: y\r\rid: 3"), "data: y\r\r");
    cr_assert_eq(splitter.event_count(), 2);
}

Test(sse_event_splitter, a_cr_waits_for_the_lf_of_its_line_end)
{
    sse_event_splitter splitter(1000);
    cr_assert_eq(splitter.feed("data: x\r\n\r"), "");
    cr_assert(splitter.is_inside_event());
    cr_assert_eq(splitter.feed("\n"), "data: x\r\n\r\n");
    cr_assert_not(splitter.is_inside_event());
}

Test(sse_event_splitter, an_lf_after_a_cr_that_ended_an_event_is_no_event)
{
    sse_event_splitter splitter(1000);
    cr_assert_eq(splitter.feed("data: x\r\r"), "data: x\r\r");
    cr_assert_eq(splitter.feed("\n"), "\n");
    cr_assert_eq(splitter.feed("data: y\r\n\r\n"), "data: y\r\n\r\n");
    cr_assert_eq(splitter.event_count(), 2);
}

Test(sse_event_splitter, detects_an_event_over_the_limit)
{
    sse_event_splitter splitter(8);
    splitter.feed("data: xx");
    cr_assert_not(splitter.exceeds_limit());
    splitter.feed("x");
    cr_assert(splitter.exceeds_limit());
}
