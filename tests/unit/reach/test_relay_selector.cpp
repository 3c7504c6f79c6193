#include "core/reach/relay_selector.hpp"

#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace std::chrono_literals;

namespace
{

relay_selector make_selector(int near, int far)
{
    relay_selector selector({.data_centre = "a"});
    std::vector<relay_router> all;
    for (int i = 0; i < near; ++i)
        all.push_back({"near" + std::to_string(i), "10.0.0.1:1", "a"});
    for (int i = 0; i < far; ++i)
        all.push_back({"far" + std::to_string(i), "10.0.0.2:1", "b"});
    selector.set_routers(std::move(all));
    return selector;
}

constexpr instant start{100s};

} // namespace

Test(relay_selector, connections_are_spread_over_the_routers_nearby)
{
    relay_selector selector = make_selector(4, 4);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 400; ++i)
        ++chosen[selector.choose({}, start)->name];
    cr_assert_eq(chosen.size(), 4);
    for (const auto& [name, count] : chosen)
        cr_assert(name.starts_with("near") && count > 50);
}

Test(relay_selector, routers_that_failed_are_left_out_for_a_while)
{
    relay_selector selector = make_selector(1, 1);
    selector.failed("near0", start);
    cr_assert_eq(selector.choose({}, start)->name, "far0");
    selector.failed("far0", start);
    cr_assert_null(selector.choose({}, start));
    cr_assert_eq(selector.choose({}, start + 500ms)->name, "near0");
    selector.failed("near0", start + 500ms);
    cr_assert_eq(selector.choose({}, start + 1s)->name, "far0");
    selector.succeeded("near0");
    cr_assert_eq(selector.choose({}, start + 1s)->name, "near0");
}

// Guards against asking only routers of a data centre that is cut off.
Test(relay_selector, a_second_router_is_drawn_in_another_data_centre)
{
    relay_selector selector = make_selector(4, 1);
    const std::vector<std::string> tried{"near0"};
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(selector.choose(tried, start)->name, "far0");
}

Test(relay_selector, a_router_is_asked_once_for_a_connection)
{
    relay_selector selector = make_selector(2, 0);
    const std::vector<std::string> tried{"near0"};
    cr_assert_eq(selector.choose(tried, start)->name, "near1");
    const std::vector<std::string> all{"near0", "near1"};
    cr_assert_null(selector.choose(all, start));
}
