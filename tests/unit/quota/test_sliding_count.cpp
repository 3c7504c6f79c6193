#include "core/quota/sliding_count.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

instant at(duration since_start)
{
    return instant(100s + since_start);
}

} // namespace

Test(sliding_count, counts_what_happened_within_the_window)
{
    sliding_count counted(10s);
    for (duration passed = 0s; passed < 30s; passed += 100ms)
        counted.add(at(passed));
    const std::uint32_t in_window = counted.count(at(29900ms));
    cr_assert_leq(in_window, 100);
    cr_assert_geq(in_window, 90);
}

Test(sliding_count, never_counts_what_is_older_than_the_window)
{
    for (duration start = 0s; start < 2s; start += 70ms)
    {
        sliding_count counted(10s);
        counted.add(at(start));
        cr_assert_eq(counted.count(at(start + 9s)), 1);
        cr_assert_eq(counted.count(at(start + 10s)), 0);
        cr_assert_eq(counted.count(at(start + 1h)), 0);
    }
}
