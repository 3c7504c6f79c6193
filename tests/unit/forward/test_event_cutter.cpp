#include "adapters/forward/event_cutter.hpp"

#include <criterion/criterion.h>

using roseworks::forward::event_cutter;

Test(event_cutter, passes_whole_events_byte_for_byte)
{
    event_cutter cutter(1000);
    cr_assert_eq(cutter.feed("id: 1\nda"), "");
    cr_assert_eq(cutter.feed("ta: x\n\nid: 2\r\n"), "id: 1\ndata: x\n\n");
    cr_assert_eq(cutter.last_id(), "1");
    cr_assert_eq(cutter.feed("data: y\r\n\r\n"), "id: 2\r\ndata: y\r\n\r\n");
    cr_assert_eq(cutter.last_id(), "2");
    cr_assert_eq(cutter.events(), 2);
}

Test(event_cutter, an_unfinished_event_counts_for_nothing)
{
    event_cutter cutter(1000);
    cutter.feed("id: 1\ndata: x\n\nid: 2\ndata: y\n");
    cr_assert_eq(cutter.last_id(), "1");
    cutter.restart();
    cr_assert_eq(cutter.feed("id: 2\ndata: y\n\n"), "id: 2\ndata: y\n\n");
    cr_assert_eq(cutter.last_id(), "2");
}

Test(event_cutter, what_is_left_at_the_end_is_given_as_it_is)
{
    event_cutter cutter(1000);
    cutter.feed("data: x\n\ntail");
    cr_assert_eq(cutter.take_rest(), "tail");
    cr_assert_eq(cutter.take_rest(), "");
}

Test(event_cutter, notices_an_event_over_the_limit)
{
    event_cutter cutter(8);
    cutter.feed("data: xx");
    cr_assert_not(cutter.overrun());
    cutter.feed("x");
    cr_assert(cutter.overrun());
}
