#include "core/dissemination/distribution_tree.hpp"
#include "core/dissemination/version_fetch.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

std::vector<copy_source> make_routers(std::size_t count, std::size_t centres)
{
    std::vector<copy_source> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(
            {"r" + std::to_string(i),
             "10.0.0." + std::to_string(i),
             i % 3 == 2 ? 0.1 : 2.0,
             "dc" + std::to_string(i % centres)});
    return all;
}

distribution_tree
tree_of(const copy_source& self, const std::vector<copy_source>& all)
{
    distribution_tree tree{distribution_tree::options()};
    tree.routers_listed(self, all);
    return tree;
}

} // namespace

Test(distribution_tree, each_router_has_one_path_to_the_root)
{
    constexpr std::size_t max_depth = 5;
    constexpr std::size_t max_children = 6 + 6; // own data centre, and others
    for (const std::size_t count : {2, 7, 65, 300, 1000})
    {
        const auto all = make_routers(count, 7);
        const std::string root = all[count / 2].address;
        std::map<std::string, std::string> parents;
        std::map<std::string, std::size_t> children;
        for (const copy_source& one : all)
        {
            const auto parent = tree_of(one, all).parent(root);
            cr_assert_eq(parent.has_value(), one.address != root);
            if (parent)
            {
                parents[one.address] = *parent;
                ++children[*parent];
            }
        }
        for (const auto& [address, number] : children)
            cr_assert_leq(number, max_children);
        for (const copy_source& one : all)
        {
            std::string at = one.address;
            std::size_t depth = 0;
            for (; at != root && depth <= max_depth; ++depth)
                at = parents.at(at);
            cr_assert_eq(at, root);
        }
    }
}

Test(
    distribution_tree, weak_routers_pass_nothing_on_while_there_are_strong_ones)
{
    const auto all = make_routers(65, 4);
    for (const copy_source& one : all)
    {
        const auto parent = tree_of(one, all).parent(all[0].address);
        for (const copy_source& other : all)
        {
            if (parent && other.address == *parent)
                cr_assert_gt(other.capacity, 1);
        }
    }
}

Test(version_fetch, the_parent_the_announcer_and_others_are_asked_in_turn)
{
    const auto all = make_routers(65, 3);
    const distribution_tree tree = tree_of(all[60], all);
    copy_source_selector others{copy_source_selector::options()};
    others.routers_listed(all[60], all);
    version_fetch fetch{version_fetch::options()};
    fetch.announced(all[0].address);
    const instant since(100s);
    const auto first = fetch.next(since, tree, others);
    cr_assert_eq(first->address, *tree.parent(all[0].address));
    cr_assert(first->hold_time > 0ms);
    const auto second = fetch.next(since, tree, others);
    cr_assert_eq(second->address, first->address);
    const auto third = fetch.next(since, tree, others);
    cr_assert_eq(third->address, all[0].address);
    cr_assert(third->hold_time == 0ms);
    cr_assert(fetch.next(since, tree, others).has_value());
    // The next version begins with the parent again.
    cr_assert(fetch.next(since + 5s, tree, others)->hold_time > 0ms);
}

Test(version_fetch, a_router_that_knows_no_other_requests_nothing)
{
    const auto all = make_routers(1, 1);
    copy_source_selector others{copy_source_selector::options()};
    others.routers_listed(all[0], all);
    version_fetch fetch{version_fetch::options()};
    cr_assert(!fetch.next(instant(1s), tree_of(all[0], all), others));
}

/// Sixty-five routers that wait for a copy in vain must not read the store all
/// at once before the time limit is near.
Test(version_fetch, few_routers_read_the_store_early)
{
    const version_fetch::options settings;
    const version_fetch fetch{settings};
    const instant since(100s);
    std::size_t early = 0;
    for (std::size_t rank = 0; rank < 300; ++rank)
    {
        cr_assert(!fetch.may_read_store(since, rank, since + 500ms));
        early += fetch.may_read_store(
                     since, rank, since + settings.last_resort - 1ms)
                     ? 1
                     : 0;
        cr_assert(
            fetch.may_read_store(since, rank, since + settings.last_resort));
    }
    cr_assert_leq(early, settings.early_readers);
    cr_assert_gt(early, 0);
}
