#include "core/dissemination/copy_giver.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr copy_ask whole_registry{directory_topic::registry, false, 0};

server_entry server(const std::string& id, std::uint64_t offset)
{
    server_entry made;
    made.id = id;
    made.registry_revision = offset;
    return made;
}

/// Knows a registry of two servers as of offset 10.
struct giving_router
{
    giving_router()
    {
        const server_entry listed[] = {server("a", 3), server("b", 4)};
        this->registry.listed(listed);
        this->registry.listed_as_of(10);
    }

    registry_changes registry;
    copy_giver giver{this->registry};
    instant now{100s};
};

directory_copy copy_up_to(std::uint64_t next)
{
    directory_copy copy;
    copy.state = {next, 0};
    return copy;
}

} // namespace

Test(copy_giver, who_knows_nothing_gives_nothing)
{
    giving_router test;
    cr_assert_null(test.giver.give(whole_registry, {}, test.now).get());
}

/// Made anew for each of three hundred, copies took the time in which they
/// should have been sent.
Test(copy_giver, a_whole_registry_is_made_once_for_all_that_ask_at_a_time)
{
    giving_router test;
    const auto first = test.giver.give(whole_registry, {10, 0}, test.now);
    const auto second =
        test.giver.give(whole_registry, {12, 0}, test.now + 240ms);
    cr_assert_eq(first.get(), second.get());
    const auto third =
        test.giver.give(whole_registry, {12, 0}, test.now + 250ms);
    cr_assert_neq(first.get(), third.get());
    cr_assert_eq(third->state.next, 12);
}

/// Younger than it is, it would put off the asker's own look at the store.
Test(copy_giver, a_copy_is_never_younger_than_it_says)
{
    giving_router test;
    const auto copy = test.giver.give(whole_registry, {10, 7000}, test.now);
    cr_assert_geq(copy->state.age_us, 7000 + duration(250ms).count());
}

Test(copy_giver, who_knows_some_gets_what_is_new)
{
    giving_router test;
    test.registry.read(server("c", 11));
    const auto copy = test.giver.give(
        {directory_topic::registry, true, 10}, {12, 0}, test.now);
    cr_assert_not(copy->is_whole);
    cr_assert_eq(copy->servers.size(), 1);
    const auto nothing = test.giver.give(
        {directory_topic::registry, true, 12}, {12, 0}, test.now);
    cr_assert(nothing->servers.empty());
    cr_assert_eq(nothing->state.next, 12);
}

Test(copy_giver, a_configuration_is_given_to_who_lacks_it)
{
    giving_router test;
    test.giver.configuration_read("{}", 4);
    const copy_ask lacking{directory_topic::deployment, true, 4};
    const copy_ask knowing{directory_topic::deployment, true, 5};
    cr_assert_eq(
        test.giver.give(lacking, {5, 0}, test.now)->configuration, "{}");
    cr_assert(
        test.giver.give(knowing, {5, 0}, test.now)->configuration.empty());
}

Test(directory_copy, one_older_than_what_is_known_is_of_no_use)
{
    directory_copy copy = copy_up_to(5);
    copy.configuration = "{}";
    const topic_state known{6, 0};
    cr_assert(
        judge(copy, directory_topic::deployment, known) == copy_use::none);
    copy.state.age_us = -1;
    cr_assert(judge(copy, directory_topic::deployment, {}) == copy_use::none);
}

Test(directory_copy, one_as_far_as_what_is_known_confirms_it)
{
    const topic_state known{5, 0};
    for (const auto topic :
         {directory_topic::deployment, directory_topic::registry})
        cr_assert(judge(copy_up_to(5), topic, known) == copy_use::confirms);
}

Test(directory_copy, changes_are_of_use_to_who_knows_what_they_change)
{
    directory_copy copy = copy_up_to(5);
    copy.is_whole = false;
    const auto topic = directory_topic::registry;
    cr_assert(judge(copy, topic, {4, 0}) == copy_use::changes);
    cr_assert(judge(copy, topic, {}) == copy_use::none);
}

Test(directory_copy, an_empty_one_brings_nobody_a_registry)
{
    directory_copy copy = copy_up_to(5);
    const auto topic = directory_topic::registry;
    cr_assert(judge(copy, topic, {}) == copy_use::none);
    copy.servers.push_back({2, registry_change::kind::whole, server("a", 0)});
    copy.servers.push_back({3, registry_change::kind::gone, server("b", 0)});
    cr_assert(judge(copy, topic, {}) == copy_use::whole);
    const auto entries = entries_of(copy);
    cr_assert_eq(entries.size(), 1);
    cr_assert_eq(entries[0].registry_revision, 2);
}
