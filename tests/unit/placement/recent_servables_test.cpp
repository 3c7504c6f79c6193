#include "core/placement/gap_cost.hpp"
#include "core/placement/recent_servables.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::detail;
using namespace std::chrono_literals;

Test(recent_servables, the_least_recently_used_of_a_group_goes)
{
    recent_servables<int, 16> known; // two groups of eight
    for (std::uint32_t i = 1; i <= 8; ++i)
    {
        auto& entry = known.use(servable_id(2 * i));
        entry.last_use = instant(1000s) + std::chrono::seconds(i);
        entry.value = static_cast<int>(i);
    }
    known.use(servable_id(2)).last_use = instant(2000s);
    known.use(servable_id(100)).last_use = instant(2001s);

    cr_expect_null(known.find(servable_id(4)), "used longest ago");
    cr_assert_not_null(known.find(servable_id(2)));
    cr_expect_eq(known.find(servable_id(2))->value, 1);
    cr_expect_not_null(known.find(servable_id(16)));
    cr_expect_eq(known.find(servable_id(100))->value, 0);
    cr_expect_null(known.find(servable_id(3)), "of the other group");
}

Test(recent_servables, a_fleet_below_the_limit_is_remembered_whole)
{
    recent_servables<int> known;
    for (std::uint32_t i = 1; i <= known.most; ++i)
        known.use(servable_id(i)).last_use = instant(1000s);
    for (std::uint32_t i = 1; i <= known.most; ++i)
        cr_assert_not_null(known.find(servable_id(i)));
}

Test(gap_histogram, a_full_bin_halves_all_and_keeps_their_shares)
{
    small_gap_histogram gaps;
    for (int i = 0; i < 65'535; ++i)
        gaps.add(1s);
    for (int i = 0; i < 20'000; ++i)
        gaps.add(5s);
    gaps.add(1s);
    cr_expect_eq(gaps.count(0), 32'768);
    cr_expect_eq(gaps.count(1), 10'000);
    cr_expect_eq(gaps.total(), 42'768);
}
