#include "stating_server.hpp"

#include <string>
#include <string_view>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;

namespace
{

/// So many requests reach each of two servers that take requests, in all
/// probability.
constexpr int requests_sent = 40;

/// Longer than any request may wait here.
const std::string long_pause = "600";

bool is_served(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200 ") && response.ends_with("hello");
}

int serve(
    forward_fixture& test,
    std::string_view method,
    std::string_view target,
    int count = requests_sent)
{
    int served = 0;
    for (int i = 0; i < count; ++i)
        served +=
            is_served(test.exchange(test.request(method, target))) ? 1 : 0;
    return served;
}

} // namespace

/// Incident inc10: requests reached a server 7.6 s after it had said so.
Test(server_notices, a_server_that_said_it_leaves_gets_no_further_request)
{
    for (const std::string_view target :
         {"/once/x", "/again/x", "/stream/x", "/resume/x", "/later/x"})
    {
        stating_server leaving;
        stating_server staying;
        leaving.leave();
        forward_fixture test({&leaving.backend, &staying.backend});
        cr_expect_eq(serve(test, "POST", target), requests_sent);
        cr_expect_leq(
            leaving.requests(),
            1,
            "%s: %d requests",
            target.data(),
            leaving.requests());
    }
}

Test(server_notices, a_request_that_only_a_leaving_server_could_run_is_refused)
{
    stating_server only;
    only.leave();
    forward_fixture test({&only.backend});
    cr_assert(is_served(test.exchange(test.request("GET", "/again/x"))));
    for (int i = 0; i < 3; ++i)
    {
        const std::string refused =
            test.exchange(test.request("GET", "/again/x"));
        cr_assert(refused.starts_with("HTTP/1.1 503 "), "%s", refused.c_str());
    }
    cr_assert_eq(only.requests(), 1);
}

Test(server_notices, a_rejection_may_say_that_the_server_leaves)
{
    stating_server leaving;
    stating_server staying;
    leaving.leave();
    leaving.reject(1, "0");
    forward_fixture test({&leaving.backend, &staying.backend});
    cr_expect_eq(serve(test, "GET", "/again/x"), requests_sent);
    cr_expect_leq(leaving.requests(), 1, "%d requests", leaving.requests());
}

/// Its registry entry may outlast it by as long as the store is away.
Test(server_notices, a_server_whose_address_another_one_has_gets_no_request)
{
    for (const std::string_view target :
         {"/once/x", "/again/x", "/stream/x", "/resume/x", "/later/x"})
    {
        stating_server gone;
        stating_server present;
        gone.replace();
        forward_fixture test({&gone.backend, &present.backend});
        cr_expect_eq(serve(test, "POST", target), requests_sent);
        cr_expect_leq(
            gone.requests(),
            1,
            "%s: %d requests",
            target.data(),
            gone.requests());
    }
}

Test(server_notices, no_request_over_another_router_reaches_a_replaced_server)
{
    stating_server gone;
    stating_server present;
    forward_fixture other({&gone.backend, &present.backend});
    forward_fixture test({&gone.backend, &present.backend});
    test.know_router(other);
    test.direct.network = cut::refusing;
    gone.replace();
    serve(other, "POST", "/once/x");
    const int before = gone.requests();
    serve(test, "POST", "/again/x");
    cr_expect_eq(
        gone.requests(), before, "%d requests", gone.requests() - before);
}

/// Incident inc10: a server that had asked for 3 s got up to 10 requests of
/// one router in that time.
Test(
    server_notices,
    a_server_that_asked_for_a_pause_gets_no_request_until_its_end)
{
    for (const std::string_view target :
         {"/once/x", "/again/x", "/stream/x", "/resume/x", "/later/x"})
    {
        stating_server pausing;
        stating_server other;
        pausing.reject(requests_sent, long_pause);
        forward_fixture test({&pausing.backend, &other.backend});
        serve(test, "POST", target);
        cr_expect_leq(
            pausing.requests(),
            1,
            "%s: %d requests",
            target.data(),
            pausing.requests());
    }
}

Test(
    server_notices,
    a_request_that_cannot_wait_for_the_end_of_a_pause_is_refused)
{
    stating_server only;
    only.reject(requests_sent, long_pause);
    forward_fixture test({&only.backend});
    for (int i = 0; i < 3; ++i)
    {
        const std::string refused =
            test.exchange(test.request("GET", "/again/x"));
        cr_expect(refused.starts_with("HTTP/1.1 503 "), "%s", refused.c_str());
        cr_expect(refused.find("\"verdict\":\"not-run\"") != std::string::npos);
        // The caller has to know when it is of use to come back.
        const auto field = refused.find("Retry-After: ");
        cr_assert_neq(field, std::string::npos, "%s", refused.c_str());
        constexpr double most_elapsed = 60;
        cr_expect_geq(
            std::stod(refused.substr(field + 13)),
            std::stod(long_pause) - most_elapsed);
    }
    cr_expect_eq(only.requests(), 1);
}

Test(server_notices, a_request_waits_for_the_end_of_a_short_pause)
{
    stating_server only;
    only.reject(1, "0.3");
    forward_fixture test({&only.backend});
    cr_expect(is_served(test.exchange(test.request("GET", "/again/x"))));
    cr_expect_eq(only.requests(), 2);
}

/// The servers answer the router that relays, so its limits count, too.
Test(
    server_notices,
    no_request_over_another_router_reaches_a_server_that_told_it)
{
    stating_server leaving;
    stating_server staying;
    forward_fixture other({&leaving.backend, &staying.backend});
    forward_fixture test({&leaving.backend, &staying.backend});
    test.know_router(other);
    test.direct.network = cut::refusing;
    cr_assert_eq(serve(test, "POST", "/once/x"), requests_sent);
    leaving.leave();
    cr_assert_eq(serve(other, "POST", "/once/x"), requests_sent);
    const int before = leaving.requests();
    serve(test, "POST", "/again/x");
    cr_expect_eq(
        leaving.requests(), before, "%d requests", leaving.requests() - before);
}

Test(server_notices, a_router_that_relayed_a_pause_sends_nothing_itself)
{
    stating_server pausing;
    stating_server staying;
    forward_fixture other({&pausing.backend, &staying.backend});
    forward_fixture test({&pausing.backend, &staying.backend});
    test.know_router(other);
    test.direct.network = cut::refusing;
    pausing.reject(requests_sent, long_pause);
    serve(test, "GET", "/again/x");
    const int before = pausing.requests();
    cr_assert_geq(before, 1);
    serve(other, "GET", "/again/x");
    cr_expect_eq(
        pausing.requests(), before, "%d requests", pausing.requests() - before);
}

/// The stream breaks, and goes on at a server that stays.
Test(server_notices, a_broken_stream_of_a_leaving_server_goes_on_elsewhere)
{
    stating_server leaving;
    stating_server staying;
    leaving.leave();
    leaving.cut_responses();
    forward_fixture test({&leaving.backend, &staying.backend});
    for (int i = 0; i < requests_sent; ++i)
        test.exchange(test.request("POST", "/resume/x"));
    cr_expect_leq(leaving.requests(), 1, "%d requests", leaving.requests());
}
