#include "core/dissemination/copy_provider.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

constexpr copy_request whole_registry{directory_topic::registry, false, 0};

server_entry server(const std::string& id, std::uint64_t offset)
{
    server_entry made;
    made.id = id;
    made.registry_revision = offset;
    return made;
}

/// A router that knows a registry of two servers as of offset 10.
struct test_router
{
    test_router()
    {
        const server_entry listed[] = {server("a", 3), server("b", 4)};
        this->registry.listed(listed);
        this->registry.set_listing_offset(10);
    }

    registry_change_tracker registry;
    configuration_history configurations{configuration_history::options()};
    copy_provider provider{this->registry, this->configurations};
    instant now{100s};
};

directory_copy copy_up_to(std::uint64_t next)
{
    directory_copy copy;
    copy.state = {next, 0};
    return copy;
}

} // namespace

Test(copy_provider, a_router_without_data_makes_no_copy)
{
    test_router test;
    cr_assert_null(test.provider.make_copy(whole_registry, {}, test.now).get());
}

/// When a copy was made for each of 300 routers, making the copies took the
/// time in which they should have been sent.
Test(copy_provider, a_copy_of_the_whole_registry_is_reused_for_250_ms)
{
    test_router test;
    const auto first =
        test.provider.make_copy(whole_registry, {10, 0}, test.now);
    const auto second =
        test.provider.make_copy(whole_registry, {12, 0}, test.now + 240ms);
    cr_assert_eq(first.get(), second.get());
    const auto third =
        test.provider.make_copy(whole_registry, {12, 0}, test.now + 250ms);
    cr_assert_neq(first.get(), third.get());
    cr_assert_eq(third->state.next, 12);
}

/// A copy that states a lower age than it has would delay the requester's own
/// read of the store.
Test(copy_provider, a_copy_is_never_older_than_its_stated_age)
{
    test_router test;
    const auto copy =
        test.provider.make_copy(whole_registry, {10, 7000}, test.now);
    cr_assert_geq(copy->state.age_us, 7000 + duration(250ms).count());
}

Test(copy_provider, a_requester_with_data_gets_only_the_changes)
{
    test_router test;
    test.registry.read(server("c", 11));
    const auto copy = test.provider.make_copy(
        {directory_topic::registry, true, 10}, {12, 0}, test.now);
    cr_assert_not(copy->is_whole);
    cr_assert_eq(copy->servers.size(), 1);
    const auto nothing = test.provider.make_copy(
        {directory_topic::registry, true, 12}, {12, 0}, test.now);
    cr_assert(nothing->servers.empty());
    cr_assert_eq(nothing->state.next, 12);
}

Test(copy_provider, a_configuration_is_sent_only_if_it_is_newer)
{
    test_router test;
    test.configurations.replace("{}", 4);
    const copy_request without_it{directory_topic::deployment, true, 4};
    const copy_request with_it{directory_topic::deployment, true, 5};
    cr_assert_eq(
        test.provider.make_copy(without_it, {5, 0}, test.now)->configuration,
        "{}");
    cr_assert(test.provider.make_copy(with_it, {5, 0}, test.now)
                  ->configuration.empty());
}

/// A version that changes one route cost the size of the whole record on the
/// link of each router.
Test(copy_provider, a_requester_with_the_version_before_gets_only_the_change)
{
    test_router test;
    std::string text = R"({"routes":[)";
    for (int i = 0; i < 1000; ++i)
        text += R"({"name":"r)" + std::to_string(i) + R"("},)";
    test.configurations.replace(text, 4);
    copy_request request{directory_topic::deployment, true, 5};
    request.digest = test.configurations.digest();
    test.configurations.replace(text + R"({"name":"new"})", 5);
    const auto copy = test.provider.make_copy(request, {6, 0}, test.now);
    cr_assert(copy->configuration.empty());
    cr_assert_eq(copy->changes.size(), 1);
    cr_assert_lt(bytes_of(copy->changes.front()), 200);
    request.digest = 0;
    const auto whole = test.provider.make_copy(request, {6, 0}, test.now);
    cr_assert_eq(whole->configuration, test.configurations.text());
}

Test(directory_copy, a_copy_older_than_the_state_is_ignored)
{
    directory_copy copy = copy_up_to(5);
    copy.configuration = "{}";
    const topic_state known{6, 0};
    cr_assert(
        evaluate_copy(copy, directory_topic::deployment, known) ==
        copy_verdict::none);
    copy.state.age_us = -1;
    cr_assert(
        evaluate_copy(copy, directory_topic::deployment, {}) ==
        copy_verdict::none);
}

Test(directory_copy, a_copy_with_the_same_offset_confirms_the_state)
{
    const topic_state known{5, 0};
    for (const auto topic :
         {directory_topic::deployment, directory_topic::registry})
        cr_assert(
            evaluate_copy(copy_up_to(5), topic, known) ==
            copy_verdict::confirms);
}

Test(directory_copy, changes_require_earlier_data)
{
    directory_copy copy = copy_up_to(5);
    copy.is_whole = false;
    const auto topic = directory_topic::registry;
    cr_assert(evaluate_copy(copy, topic, {4, 0}) == copy_verdict::changes);
    cr_assert(evaluate_copy(copy, topic, {}) == copy_verdict::none);
}

Test(directory_copy, an_empty_copy_is_not_used_as_a_registry)
{
    directory_copy copy = copy_up_to(5);
    const auto topic = directory_topic::registry;
    cr_assert(evaluate_copy(copy, topic, {}) == copy_verdict::none);
    copy.servers.push_back({2, registry_change::kind::whole, server("a", 0)});
    copy.servers.push_back({3, registry_change::kind::gone, server("b", 0)});
    cr_assert(evaluate_copy(copy, topic, {}) == copy_verdict::whole);
    const auto entries = entries_of(copy);
    cr_assert_eq(entries.size(), 1);
    cr_assert_eq(entries[0].registry_revision, 2);
}
