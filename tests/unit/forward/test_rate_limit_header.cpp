#include "adapters/forward/rate_limit_header.hpp"

#include <initializer_list>
#include <string>

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

Test(rate_limit_header, parses_a_decimal_number)
{
    cr_assert_eq(parse({"1.9"}).requests_per_second.value(), 1.9);
    cr_assert_eq(parse({"12"}).requests_per_second.value(), 12.0);
    cr_assert_eq(parse({"0"}).requests_per_second.value(), 0.0);
}

Test(rate_limit_header, a_response_without_the_header_names_no_limit)
{
    const server_rate_limit absent = parse({});
    cr_assert_not(absent.requests_per_second.has_value());
    cr_assert_not(absent.is_malformed);
}

Test(rate_limit_header, a_malformed_value_names_no_limit)
{
    for (const char* bad :
         {"", "x", "-1", "nan", "inf", "1.9 a second", "1,9", "0x1p4", "1e3"})
    {
        const server_rate_limit limit = parse({bad});
        cr_assert_not(limit.requests_per_second.has_value(), "%s", bad);
        cr_assert(limit.is_malformed, "%s", bad);
    }
}

Test(rate_limit_header, the_lowest_of_several_values_applies)
{
    const server_rate_limit limit = parse({"7", "2.5", "none"});
    cr_assert_eq(limit.requests_per_second.value(), 2.5);
    cr_assert_not(limit.is_malformed);
}

Test(rate_limit_header, a_brittle_server_states_the_rejections_it_withstands)
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
