#include "core/dissemination/configuration_history.hpp"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

constexpr std::size_t max_bytes = 1 << 20;

std::string route(int number)
{
    return R"({"name":"route-)" + std::to_string(number) +
           R"(","host":"a.example","path_prefix":"/p)" +
           std::to_string(number) + R"(/"})";
}

std::string configuration(int version, const std::vector<int>& routes)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (const int number : routes)
        text += route(number) + ",";
    return text + "]}";
}

std::vector<int> first_routes(int count)
{
    std::vector<int> all;
    for (int i = 0; i < count; ++i)
        all.push_back(i);
    return all;
}

} // namespace

Test(text_change, the_later_version_is_restored_from_the_earlier_one)
{
    std::mt19937_64 random(1);
    std::vector<int> routes = first_routes(200);
    std::string before = configuration(0, routes);
    for (int version = 1; version < 200; ++version)
    {
        const std::size_t place = random() % routes.size();
        if (random() % 3 == 0)
            routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(place));
        else if (random() % 2 == 0)
            std::swap(routes[place], routes.front());
        else
            routes[place] = 1000 + version;
        const std::string after = configuration(version, routes);
        const text_change change = compare_texts(before, after);
        const auto restored = apply_change(before, change, max_bytes);
        cr_assert(restored.has_value());
        cr_assert_eq(*restored, after);
        before = after;
    }
}

Test(text_change, its_size_depends_on_what_changed)
{
    std::vector<int> routes = first_routes(20'000);
    const std::string before = configuration(1, routes);
    routes[10'000] = 70'000;
    const text_change one = compare_texts(before, configuration(2, routes));
    cr_assert_lt(one.steps.size(), 200);
    const text_change nothing = compare_texts(before, before);
    cr_assert_lt(nothing.steps.size(), 20);
}

Test(text_change, texts_without_objects_can_be_compared)
{
    for (const std::string before : {"", "a", "{", "no braces"})
    {
        for (const std::string after : {"", "b", "{{", "none at all"})
        {
            const auto change = compare_texts(before, after);
            cr_assert_eq(*apply_change(before, change, max_bytes), after);
        }
    }
}

/// A wrong, truncated or damaged change must never be taken for a version.
Test(text_change, a_change_that_does_not_apply_is_rejected)
{
    const std::string before = configuration(1, first_routes(50));
    const std::string after = configuration(2, first_routes(60));
    const text_change change = compare_texts(before, after);
    cr_assert(!apply_change(after, change, max_bytes));
    cr_assert(!apply_change(before, change, after.size() - 1));
    std::mt19937_64 random(7);
    for (int i = 0; i < 5000; ++i)
    {
        text_change damaged = change;
        const std::size_t place = random() % damaged.steps.size();
        if (i % 3 == 0)
            damaged.steps.resize(place);
        else if (i % 3 == 1)
            damaged.steps[place] = static_cast<char>(random());
        else
            damaged.steps.insert(place, 1 + random() % 12, '\xff');
        const auto result = apply_change(before, damaged, max_bytes);
        cr_assert(!result || *result == after);
    }
}

Test(configuration_history, a_router_that_missed_versions_gets_their_changes)
{
    configuration_history source{configuration_history::options()};
    configuration_history other{configuration_history::options()};
    const std::string first = configuration(1, first_routes(500));
    cr_assert(!source.replace(first, 0));
    other.replace(first, 0);
    for (int version = 2; version < 7; ++version)
    {
        const std::string next = configuration(version, first_routes(500));
        cr_assert(source.replace(next, static_cast<std::uint64_t>(version)));
    }
    const auto changes = source.since(other.digest());
    cr_assert_eq(changes.size(), 5);
    const auto text = other.preview(changes);
    cr_assert(text.has_value());
    cr_assert_eq(*text, source.text());
    other.apply(*text, changes);
    cr_assert_eq(other.digest(), source.digest());
    cr_assert_eq(other.offset(), source.offset());
    cr_assert(other.since(source.digest()).empty());
}

Test(configuration_history, changes_that_are_known_in_part_are_used)
{
    configuration_history source{configuration_history::options()};
    const std::string first = configuration(1, first_routes(500));
    source.replace(first, 0);
    const std::uint64_t before = source.digest();
    source.replace(configuration(2, first_routes(501)), 1);
    configuration_history other{configuration_history::options()};
    other.replace(std::string(source.text()), 1);
    source.replace(configuration(3, first_routes(502)), 2);
    const auto changes = source.since(before);
    cr_assert_eq(changes.size(), 2);
    const auto text = other.preview(changes);
    cr_assert_eq(*text, source.text());
    other.apply(*text, changes);
    cr_assert_eq(other.digest(), source.digest());
}

Test(configuration_history, a_router_that_is_far_behind_gets_the_whole_text)
{
    configuration_history::options few;
    few.max_changes = 2;
    configuration_history source{few};
    source.replace(configuration(1, first_routes(100)), 0);
    const std::uint64_t old = source.digest();
    for (int version = 2; version < 6; ++version)
        source.replace(
            configuration(version, first_routes(100)),
            static_cast<std::uint64_t>(version));
    cr_assert(source.since(old).empty());
    cr_assert(source.since(0).empty());
    cr_assert(source.since(source.digest()).empty());
}

Test(configuration_history, a_change_larger_than_the_text_is_not_sent)
{
    configuration_history source{configuration_history::options()};
    source.replace(configuration(1, {1, 2, 3}), 0);
    const std::uint64_t before = source.digest();
    source.replace(configuration(2, {4, 5, 6}), 1);
    cr_assert(source.since(before).empty());
}
