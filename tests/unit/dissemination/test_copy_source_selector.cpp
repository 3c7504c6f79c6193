#include "core/dissemination/copy_source_selector.hpp"

#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

copy_source router(int number, double capacity = 1)
{
    const std::string name = "r" + std::to_string(number);
    return {name, "address-of-" + name, capacity};
}

/// @param strong The number of routers, at the front, with a higher capacity.
std::vector<copy_source> routers(int count, int strong)
{
    std::vector<copy_source> all;
    for (int i = 0; i < count; ++i)
        all.push_back(router(i, i < strong ? 2 : 1));
    return all;
}

} // namespace

Test(copy_source_selector, a_router_without_known_peers_reads_the_store)
{
    copy_source_selector selector({});
    cr_assert(selector.is_first_reader());
    cr_assert(!selector.next());
    selector.routers_listed(router(1), {router(1)});
    cr_assert(selector.is_first_reader());
    cr_assert(!selector.next());
}

/// After a common start, 300 listings of the registry kept the store too busy
/// for any other read.
Test(copy_source_selector, four_of_all_routers_read_the_store_first)
{
    for (const int count : {7, 65, 300, 1000})
    {
        int first = 0;
        for (const copy_source& self : routers(count, 0))
        {
            copy_source_selector selector({});
            selector.routers_listed(self, routers(count, 0));
            first += selector.is_first_reader() ? 1 : 0;
        }
        cr_assert_eq(first, 4);
    }
}

Test(copy_source_selector, routers_of_highest_capacity_read_first_and_are_asked)
{
    copy_source_selector selector({});
    selector.routers_listed(router(60), routers(65, 3));
    cr_assert(!selector.is_first_reader());
    std::set<std::string> asked;
    for (int i = 0; i < 40; ++i)
        asked.insert(*selector.next());
    for (const char* strong : {"r0", "r1", "r2"})
        cr_assert(asked.contains(std::string("address-of-") + strong));
}

/// The first readers may all be gone.
Test(copy_source_selector, every_other_router_may_be_asked)
{
    copy_source_selector selector({});
    selector.routers_listed(router(6), routers(7, 0));
    std::set<std::string> asked;
    for (int i = 0; i < 400; ++i)
        asked.insert(*selector.next());
    cr_assert_eq(asked.size(), 6);
    cr_assert(!asked.contains("address-of-r6"));
}

/// Traffic between data centres was the largest cost of a start of 300 routers.
Test(copy_source_selector, routers_of_its_data_centre_are_asked_before_others)
{
    std::vector<copy_source> all = routers(60, 0);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].data_centre = i < 30 ? "a" : "b";
    copy_source_selector selector({});
    selector.routers_listed(all[40], all);
    int remote_requests = 0;
    for (int i = 0; i < 40; ++i)
    {
        const std::string asked = *selector.next();
        for (std::size_t j = 0; j < 30; ++j)
            remote_requests += asked == all[j].address ? 1 : 0;
    }
    cr_assert_leq(remote_requests, 10);
    cr_assert_gt(remote_requests, 0);
}

Test(copy_source_selector, the_only_router_of_a_data_centre_reads_first)
{
    std::vector<copy_source> all = routers(7, 0);
    all[6].data_centre = "b";
    copy_source_selector selector({});
    selector.routers_listed(all[6], all);
    cr_assert(selector.is_first_reader());
    cr_assert(selector.next().has_value());
}

Test(
    copy_source_selector, a_router_without_a_copy_reads_the_store_after_a_delay)
{
    copy_source_selector selector({.store_fallback_delay = 500ms});
    const instant since{10s};
    cr_assert(!selector.awaits_copy(since, since));
    selector.routers_listed(router(64), routers(65, 64));
    cr_assert(selector.awaits_copy(since, since + 2s));
    cr_assert(!selector.awaits_copy(since, since + 2500ms));
}
