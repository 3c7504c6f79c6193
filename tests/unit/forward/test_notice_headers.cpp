#include "adapters/forward/notice_headers.hpp"

#include <chrono>
#include <initializer_list>
#include <string>
#include <utility>

#include <criterion/criterion.h>

using namespace roseworks::forward;

namespace
{

server_rate_limit parse(std::initializer_list<const char*> values)
{
    static response_head head;
    head = response_head();
    for (const char* value : values)
        head.insert("Limit", value);
    header_names names;
    names.rate_limit = "Limit";
    return parse_rate_limit(head, names);
}

} // namespace

Test(notice_headers, parses_a_decimal_number)
{
    cr_assert_eq(parse({"1.9"}).requests_per_second.value(), 1.9);
    cr_assert_eq(parse({"12"}).requests_per_second.value(), 12.0);
    cr_assert_eq(parse({"0"}).requests_per_second.value(), 0.0);
}

Test(notice_headers, a_response_without_the_header_names_no_limit)
{
    const server_rate_limit absent = parse({});
    cr_assert_not(absent.requests_per_second.has_value());
    cr_assert_not(absent.is_malformed);
}

Test(notice_headers, a_malformed_value_names_no_limit)
{
    for (const char* bad :
         {"", "x", "-1", "nan", "inf", "1.9 a second", "1,9", "0x1p4", "1e3"})
    {
        const server_rate_limit limit = parse({bad});
        cr_assert_not(limit.requests_per_second.has_value(), "%s", bad);
        cr_assert(limit.is_malformed, "%s", bad);
    }
}

Test(notice_headers, the_lowest_of_several_values_applies)
{
    const server_rate_limit limit = parse({"7", "2.5", "none"});
    cr_assert_eq(limit.requests_per_second.value(), 2.5);
    cr_assert_not(limit.is_malformed);
}

Test(notice_headers, a_brittle_server_states_the_rejections_it_withstands)
{
    response_head head;
    header_names names;
    names.rate_limit = "Limit";
    names.max_rejections = "Brittle";
    cr_assert(!parse_max_rejections(head, names));
    head.insert("Brittle", "4");
    cr_assert_eq(parse_max_rejections(head, names).value(), 4.0);
    cr_assert(!parse_rate_limit(head, names).requests_per_second);
}

Test(notice_headers, a_rejection_states_a_pause_in_seconds)
{
    header_names names;
    names.not_run = "Not-Executed";
    for (const auto& [text, micros] :
         {std::pair("3", 3'000'000), {"0.25", 250'000}, {"0", 0}})
    {
        response_head head;
        head.result(503);
        head.insert("Retry-After", text);
        cr_assert_eq(
            parse_notice(head, names).pause.value().count(),
            micros,
            "%s",
            text);
    }
}

Test(notice_headers, a_pause_that_is_no_number_of_seconds_is_ignored)
{
    header_names names;
    for (const char* bad : {"", "-1", "soon", "Fri, 04 Dec 2026 22:00:00 GMT"})
    {
        response_head head;
        head.result(503);
        head.insert("Retry-After", bad);
        cr_assert_not(parse_notice(head, names).pause.has_value(), "%s", bad);
    }
}

Test(notice_headers, an_absurd_pause_counts_as_an_hour)
{
    response_head head;
    head.result(503);
    head.insert("Retry-After", "99999999999999999999");
    const auto pause = parse_notice(head, header_names()).pause;
    cr_assert(pause.value() == std::chrono::hours(1));
}

/// An answer of a server's application may have the header, too.
Test(notice_headers, only_a_rejection_states_a_pause)
{
    response_head head;
    head.result(200);
    head.insert("Retry-After", "3");
    cr_assert_not(parse_notice(head, header_names()).pause.has_value());
}

Test(notice_headers, any_response_may_state_that_its_server_leaves)
{
    header_names names;
    names.leaving = "Leaving";
    for (const unsigned status : {200U, 404U, 500U, 503U})
    {
        response_head head;
        head.result(status);
        cr_assert_not(parse_notice(head, names).leaving);
        head.insert("Leaving", "1");
        cr_assert(parse_notice(head, names).leaving);
    }
}
