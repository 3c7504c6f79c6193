#include "adapters/forward/rate_limit_header.hpp"

#include <initializer_list>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::forward;

namespace
{

named_rate_limit read(std::initializer_list<const char*> values)
{
    static answer_head head;
    head = answer_head();
    for (const char* value : values)
        head.insert("Limit", value);
    header_dialect names;
    names.rate_limit = "Limit";
    return read_rate_limit(head, names);
}

} // namespace

Test(rate_limit_header, a_decimal_number_of_requests_is_read)
{
    cr_assert_eq(read({"1.9"}).per_second.value(), 1.9);
    cr_assert_eq(read({"12"}).per_second.value(), 12.0);
    cr_assert_eq(read({"0"}).per_second.value(), 0.0);
}

Test(rate_limit_header, an_answer_without_one_names_none)
{
    const named_rate_limit none = read({});
    cr_assert_not(none.per_second.has_value());
    cr_assert_not(none.is_malformed);
}

Test(rate_limit_header, what_is_no_number_of_requests_names_none)
{
    for (const char* bad :
         {"", "x", "-1", "nan", "inf", "1.9 a second", "1,9", "0x1p4", "1e3"})
    {
        const named_rate_limit named = read({bad});
        cr_assert_not(named.per_second.has_value(), "%s", bad);
        cr_assert(named.is_malformed, "%s", bad);
    }
}

Test(rate_limit_header, of_several_the_lowest_counts)
{
    const named_rate_limit named = read({"7", "2.5", "none"});
    cr_assert_eq(named.per_second.value(), 2.5);
    cr_assert_not(named.is_malformed);
}
