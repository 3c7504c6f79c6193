// A stream goes on only at the software version that began it.

#include "core/serving/server_software.hpp"
#include "forward_fixture.hpp"
#include "response_view.hpp"
#include "versioned_servers.hpp"

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;

namespace
{

using version_list = std::vector<std::string>;

/// The choice of servers is the same in each play, so the versions change
/// places.
const version_list one_each[] = {{"v1", "v1.1"}, {"v1.1", "v1"}};

const version_list two_each[] = {
    {"v1", "v1", "v1.1", "v1.1"},
    {"v1", "v1.1", "v1", "v1.1"},
    {"v1", "v1.1", "v1.1", "v1"},
    {"v1.1", "v1", "v1", "v1.1"},
    {"v1.1", "v1", "v1.1", "v1"},
    {"v1.1", "v1.1", "v1", "v1"}};

response_view take_up(forward_fixture& test, std::string_view headers)
{
    return view_response(
        test.exchange(test.request("POST", "/resume/x", headers)));
}

response_view call(versioned_servers& servers)
{
    forward_fixture test(servers.backends(), servers.versions());
    return take_up(test, {});
}

/// Expects that one version wrote all events, and that no other one was asked.
void expect_one_version(
    const versioned_servers& servers, const response_view& seen)
{
    const version_list written = versions_in(seen.body);
    cr_assert_eq(written.size(), 1, "%s", seen.body.c_str());
    for (const versioned_servers::arrival& one : servers.arrivals())
        cr_assert_eq(one.version, written.front());
}

} // namespace

Test(software_versions, an_answer_does_not_go_on_at_another_version)
{
    for (const version_list& versions : one_each)
    {
        versioned_servers servers(versions, {2});
        const response_view seen = call(servers);
        // The server that broke off may go on itself.
        expect_one_version(servers, seen);
    }
}

Test(software_versions, an_answer_goes_on_at_the_version_that_began_it)
{
    for (const version_list& versions : two_each)
    {
        versioned_servers servers(versions, {2});
        const response_view seen = call(servers);
        cr_assert_eq(versions_in(seen.body).size(), 1, "%s", seen.body.c_str());
        cr_assert(seen.is_complete);
        cr_assert_eq(servers.arrivals().size(), 2);
    }
}

Test(software_versions, an_answer_broken_before_its_first_event_may_change)
{
    for (const version_list& versions : one_each)
    {
        versioned_servers servers(versions, {0});
        const response_view seen = call(servers);
        cr_assert(seen.is_complete);
        cr_assert_eq(versions_in(seen.body).size(), 1, "%s", seen.body.c_str());
        cr_assert_eq(servers.arrivals().size(), 2);
    }
}

Test(software_versions, an_answer_goes_on_at_its_version_after_each_break)
{
    for (const version_list& versions : two_each)
    {
        versioned_servers servers(versions, {1, 1, 1});
        const response_view seen = call(servers);
        cr_assert_eq(versions_in(seen.body).size(), 1, "%s", seen.body.c_str());
    }
}

Test(software_versions, a_server_without_a_version_continues_no_answer)
{
    versioned_servers servers({"", ""}, {2});
    const response_view seen = call(servers);
    cr_assert_not(seen.is_complete);
    cr_assert_eq(servers.arrivals().size(), 1);
}

Test(software_versions, versions_that_differ_in_case_are_two)
{
    versioned_servers servers({"v1", "V1"}, {2});
    const response_view seen = call(servers);
    expect_one_version(servers, seen);
}

Test(software_versions, a_stream_of_unknown_origin_is_sent_to_no_server)
{
    versioned_servers servers({"v1", "v1.1"}, {});
    forward_fixture test(servers.backends(), servers.versions());
    test.origins.answer = {};
    const response_view seen =
        take_up(test, "Last-Event-Id: 2\r\nResumes: 5ad4204a5cf56774\r\n");
    cr_assert_eq(seen.status, 503, "%s", seen.body.c_str());
    cr_assert_neq(seen.body.find("not-run"), std::string::npos);
    cr_assert_neq(seen.head.find("Retry-After: "), std::string::npos);
    cr_assert(servers.arrivals().empty());
    cr_assert(test.origins.questions.at(0).stream);
}

Test(software_versions, a_stream_without_named_origin_is_sent_to_no_server)
{
    versioned_servers servers({"v1", "v1.1"}, {});
    forward_fixture test(servers.backends(), servers.versions());
    test.origins.answer = {};
    const response_view seen = take_up(test, "Last-Event-Id: 2\r\n");
    cr_assert_eq(seen.status, 503, "%s", seen.body.c_str());
    cr_assert(servers.arrivals().empty());
    cr_assert_not(test.origins.questions.at(0).stream);
}

Test(software_versions, an_origin_that_is_named_twice_names_none)
{
    versioned_servers servers({"v1"}, {});
    forward_fixture test(servers.backends(), servers.versions());
    take_up(test, "Last-Event-Id: 2\r\nResumes: a\r\nResumes: b\r\n");
    take_up(
        test,
        "Last-Event-Id: 2\r\nResumes: " + std::string(1000, 'a') + "\r\n");
    cr_assert_not(test.origins.questions.at(0).stream);
    cr_assert_not(test.origins.questions.at(1).stream);
}

Test(software_versions, a_stream_goes_on_at_the_version_of_its_origin)
{
    for (const version_list& versions : two_each)
    {
        versioned_servers servers(versions, {1, 1});
        forward_fixture test(servers.backends(), servers.versions());
        test.origins.answer = {
            software_of("app", "v1.1"), origin_source::router, "r2"};
        const response_view seen =
            take_up(test, "Last-Event-Id: 2\r\nResumes: 5ad4\r\n");
        cr_assert_eq(seen.status, 200);
        cr_assert(versions_in(seen.body) == version_list{"v1.1"});
        for (const versioned_servers::arrival& one : servers.arrivals())
            cr_assert_eq(one.version, "v1.1");
    }
}

Test(software_versions, a_stream_whose_version_is_gone_is_refused_at_once)
{
    versioned_servers servers({"v1.1", "v1.2"}, {});
    forward_fixture test(servers.backends(), servers.versions());
    test.origins.answer = {
        software_of("app", "v1"), origin_source::router, "r2"};
    const response_view seen =
        take_up(test, "Last-Event-Id: 2\r\nResumes: 5ad4\r\n");
    cr_assert_eq(seen.status, 503);
    cr_assert_neq(seen.body.find("not-run"), std::string::npos);
    cr_assert_eq(seen.head.find("Retry-After: "), std::string::npos);
    cr_assert(servers.arrivals().empty());
}

Test(software_versions, the_first_event_is_recorded_under_its_attempt)
{
    versioned_servers servers({"v1", "v1"}, {0, 1});
    forward_fixture test(servers.backends(), servers.versions());
    take_up(test, {});
    cr_assert(test.origins.questions.empty());
    cr_assert_eq(test.origins.begun.size(), 1);
    cr_assert(test.origins.begun[0].second == software_of("app", "v1"));
    // The caller names that attempt later.
    take_up(test, "Last-Event-Id: 1\r\nResumes: 9c41\r\n");
    cr_assert(
        test.origins.questions.at(0).stream == test.origins.begun[0].first);
}
