#include "core/serving/route_index.hpp"

#include <criterion/criterion.h>

using namespace roseworks;

namespace
{

path_route make_route(std::string name, std::string host, std::string prefix)
{
    path_route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.path_prefix = std::move(prefix);
    route.services = {{"app", 1}};
    return route;
}

route_index make_index()
{
    auto config = std::make_shared<deployment>();
    config->routes = {
        make_route("short", "one.example", "/a/"),
        make_route("long", "one.example", "/a/b/"),
        make_route("other", "two.example", "/a/")};
    return route_index(config);
}

} // namespace

Test(route_index, the_longest_prefix_of_the_host_wins)
{
    const route_index index = make_index();
    cr_assert_eq(index.find("one.example", "/a/b/c")->name, "long");
    cr_assert_eq(index.find("one.example", "/a/x")->name, "short");
    cr_assert_eq(index.find("two.example", "/a/b/c")->name, "other");
}

Test(route_index, a_prefix_without_its_slash_does_not_match)
{
    const route_index index = make_index();
    cr_assert_null(index.find("one.example", "/a"));
    cr_assert_eq(index.find("one.example", "/a/b")->name, "short");
    cr_assert_null(index.find("one.example", "/"));
}

Test(route_index, ignores_the_query_the_port_and_the_case_of_the_host)
{
    const route_index index = make_index();
    cr_assert_eq(index.find("One.Example:8080", "/a/b/c?d=/x/")->name, "long");
    cr_assert_null(index.find("one.example", "/x?y=/a/"));
}

Test(route_index, an_unknown_host_has_no_route)
{
    cr_assert_null(make_index().find("three.example", "/a/"));
}

Test(choose_service, follows_the_weights)
{
    path_route route = make_route("r", "h", "/");
    route.services = {{"x", 90}, {"y", 10}, {"z", 0}};
    int counts[2] = {0, 0};
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
    {
        const std::string_view chosen = choose_service(route, draw);
        cr_assert_neq(chosen, "z");
        ++counts[chosen == "x" ? 0 : 1];
    }
    cr_assert_eq(counts[0], 900);
    cr_assert_eq(counts[1], 100);
}

Test(choose_service, a_route_without_weight_has_no_service)
{
    path_route route = make_route("r", "h", "/");
    route.services = {{"x", 0}};
    cr_assert(choose_service(route, 7).empty());
}

/// Guards against requests that wait longer than their caller does, whose
/// answers nobody reads.
Test(path_route, a_streams_caller_waits_less_than_its_time_limit)
{
    path_route route;
    route.kind = request_kind::streaming;
    route.timeout = std::chrono::seconds(13);
    route.objective = std::chrono::milliseconds(2500);
    route.max_event_gap = std::chrono::milliseconds(400);
    cr_assert_eq(route.first_event_timeout(), std::chrono::seconds(10));
    route.objective = std::chrono::milliseconds(300);
    cr_assert_eq(route.first_event_timeout(), std::chrono::milliseconds(3200));
    route.max_event_gap = std::chrono::milliseconds(100);
    cr_assert_eq(route.first_event_timeout(), std::chrono::seconds(2));
    route.timeout = std::chrono::seconds(1);
    cr_assert_eq(route.first_event_timeout(), std::chrono::seconds(1));
    route.kind = request_kind::idempotent;
    cr_assert_eq(route.first_event_timeout(), std::chrono::seconds(1));
}

/// Guards against a shortened time limit for requests that aren't streams.
Test(path_route, only_a_stream_that_can_not_resume_has_a_shorter_wait)
{
    path_route route;
    route.timeout = std::chrono::seconds(13);
    route.objective = std::chrono::milliseconds(2500);
    for (const request_kind kind :
         {request_kind::idempotent, request_kind::non_idempotent})
    {
        route.kind = kind;
        cr_assert_eq(route.max_queue_time(), route.timeout);
    }
    route.kind = request_kind::streaming;
    cr_assert_eq(route.max_queue_time(), std::chrono::milliseconds(9900));
    route.resumable = true;
    cr_assert_eq(route.max_queue_time(), route.timeout);
}
