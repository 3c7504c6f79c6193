#include "core/dissemination/copy_choice.hpp"

#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

copy_holder router(int number, double capacity = 1)
{
    const std::string name = "r" + std::to_string(number);
    return {name, "address-of-" + name, capacity};
}

/// @param strong The first so many are stronger than the rest.
std::vector<copy_holder> routers(int count, int strong)
{
    std::vector<copy_holder> all;
    for (int i = 0; i < count; ++i)
        all.push_back(router(i, i < strong ? 2 : 1));
    return all;
}

} // namespace

Test(copy_choice, who_knows_of_no_other_reads_the_store)
{
    copy_choice choice({});
    cr_assert(choice.reads_first());
    cr_assert(!choice.next());
    choice.routers_listed(router(1), {router(1)});
    cr_assert(choice.reads_first());
    cr_assert(!choice.next());
}

/// After a start of all, three hundred listings of the registry kept the store
/// too busy for any other read.
Test(copy_choice, of_all_routers_four_read_the_store_first)
{
    for (const int count : {7, 65, 300, 1000})
    {
        int first = 0;
        for (const copy_holder& self : routers(count, 0))
        {
            copy_choice choice({});
            choice.routers_listed(self, routers(count, 0));
            first += choice.reads_first() ? 1 : 0;
        }
        cr_assert_eq(first, 4);
    }
}

Test(copy_choice, the_strongest_read_first_and_are_asked)
{
    copy_choice choice({});
    choice.routers_listed(router(60), routers(65, 3));
    cr_assert(!choice.reads_first());
    std::set<std::string> asked;
    for (int i = 0; i < 40; ++i)
        asked.insert(*choice.next());
    for (const char* strong : {"r0", "r1", "r2"})
        cr_assert(asked.contains(std::string("address-of-") + strong));
}

/// The few that read first may all be gone.
Test(copy_choice, anybody_may_be_asked_but_not_oneself)
{
    copy_choice choice({});
    choice.routers_listed(router(6), routers(7, 0));
    std::set<std::string> asked;
    for (int i = 0; i < 400; ++i)
        asked.insert(*choice.next());
    cr_assert_eq(asked.size(), 6);
    cr_assert(!asked.contains("address-of-r6"));
}

/// A start of three hundred routers cost more for bytes between data centres
/// than all else.
Test(copy_choice, routers_of_its_data_centre_are_asked_before_others)
{
    std::vector<copy_holder> all = routers(60, 0);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].data_centre = i < 30 ? "a" : "b";
    copy_choice choice({});
    choice.routers_listed(all[40], all);
    int far = 0;
    for (int i = 0; i < 40; ++i)
    {
        const std::string asked = *choice.next();
        for (std::size_t j = 0; j < 30; ++j)
            far += asked == all[j].address ? 1 : 0;
    }
    cr_assert_leq(far, 10);
    cr_assert_gt(far, 0);
}

Test(copy_choice, alone_in_its_data_centre_a_router_reads_first)
{
    std::vector<copy_holder> all = routers(7, 0);
    all[6].data_centre = "b";
    copy_choice choice({});
    choice.routers_listed(all[6], all);
    cr_assert(choice.reads_first());
    cr_assert(choice.next().has_value());
}

Test(copy_choice, after_its_patience_a_router_reads_the_store_itself)
{
    copy_choice choice({.patience = 500ms});
    const instant since{10s};
    cr_assert(!choice.is_patient(since, since));
    choice.routers_listed(router(64), routers(65, 64));
    cr_assert(choice.is_patient(since, since + 2s));
    cr_assert(!choice.is_patient(since, since + 2500ms));
}
