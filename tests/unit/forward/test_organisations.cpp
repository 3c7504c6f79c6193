#include "forward_fixture.hpp"

#include <atomic>
#include <future>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view first_key = "Authorization: Bearer key-one\r\n";
constexpr std::string_view second_key = "authorization: bearer key-two\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

/// Sends the same response to all requests and records the last request.
struct recording_backend
{
    explicit recording_backend(std::string_view response)
        : server(
              [this, response](backend_peer& peer)
              {
                  for (std::string head = peer.read_request(); !head.empty();
                       head = peer.read_request())
                  {
                      {
                          const std::lock_guard lock(this->mutex);
                          this->last = head;
                          ++this->count;
                      }
                      peer.send(response);
                  }
              })
    {
    }

    std::string last_request()
    {
        const std::lock_guard lock(this->mutex);
        return this->last;
    }

    int requests()
    {
        const std::lock_guard lock(this->mutex);
        return this->count;
    }

    std::mutex mutex;
    std::string last;
    int count = 0;
    fake_backend server;
};

} // namespace

Test(organisations, the_key_is_replaced_by_its_holders_name)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    const std::string response = test.exchange(test.request(
        "GET", "/once/x", std::string(first_key) + "Tenant: somebody\r\n"));
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    const std::string sent = backend.last_request();
    cr_assert(contains(sent, "Tenant: o1\r\n"), "%s", sent.c_str());
    cr_assert_not(contains(sent, "somebody"));
    cr_assert_not(contains(sent, "key-one"));
    cr_assert_not(contains(sent, "uthorization"));
}

Test(organisations, an_unknown_or_missing_key_gets_401_and_is_not_forwarded)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    for (const std::string_view headers :
         {"",
          "Authorization: Bearer other\r\n",
          "Authorization: Bearer \r\n",
          "Authorization: Basic key-one\r\n",
          "Authorization: Bearer key-one\r\nAuthorization: Bearer key-two\r\n"})
    {
        const std::string response =
            test.exchange(test.request("GET", "/once/x", headers));
        cr_assert(
            response.starts_with("HTTP/1.1 401 "), "%s", response.c_str());
        cr_assert(contains(response, "WWW-Authenticate: Bearer\r\n"));
        cr_assert(contains(response, "not-run"));
    }
    cr_assert_eq(backend.requests(), 0);
}

Test(organisations, a_keyless_route_serves_callers_with_and_without_a_key)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    const std::string response = test.exchange(
        test.request("GET", "/open/x", "Tenant: o1\r\nX-Own: 1\r\n"));
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert_not(contains(backend.last_request(), "Tenant"));
    cr_assert(contains(backend.last_request(), "X-Own: 1\r\n"));
    test.exchange(test.request("GET", "/open/x", second_key));
    cr_assert(contains(backend.last_request(), "Tenant: o2\r\n"));
    cr_assert_not(contains(backend.last_request(), "key-two"));
}

Test(organisations, without_organisations_credentials_are_forwarded)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.exchange(test.request("GET", "/once/x", first_key));
    cr_assert(contains(backend.last_request(), std::string(first_key)));
}

Test(organisations, before_the_first_configuration_an_unknown_key_gets_503)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.clear_table();
    const std::string response = test.exchange(
        test.request("GET", "/once/x", "Authorization: Bearer other\r\n"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
}

Test(organisations, a_revoked_key_gets_401)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.exchange(test.request("GET", "/once/x", first_key));
    test.revoke_first_key();
    const std::string response =
        test.exchange(test.request("GET", "/once/x", first_key));
    cr_assert(response.starts_with("HTTP/1.1 401 "), "%s", response.c_str());
    cr_assert_eq(backend.requests(), 1);
}

Test(organisations, a_key_revoked_while_its_request_waits_gets_401)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.limits.decision = {0, true, 300ms, {}};
    auto response = std::async(
        std::launch::async,
        [&]
        {
            return test.exchange(test.request("GET", "/once/x", first_key));
        });
    const auto quota_requested = [&]
    {
        const std::lock_guard lock(test.limits.mutex);
        return !test.limits.recorded_requests.empty();
    };
    while (!quota_requested())
        std::this_thread::sleep_for(1ms);
    test.revoke_first_key();
    const std::string text = response.get();
    cr_assert(text.starts_with("HTTP/1.1 401 "), "%s", text.c_str());
    cr_assert_eq(backend.requests(), 0);
    cr_assert_eq(test.limits.returned_amount, 200);
}

Test(organisations, an_exceeded_limit_gets_429_with_retry_after)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.limits.decision = {0, false, {}, 750ms};
    const std::string response = test.exchange(test.request(
        "GET", "/once/x", std::string(first_key) + "Token-Usage: 1460,80\r\n"));
    cr_assert(response.starts_with("HTTP/1.1 429 "), "%s", response.c_str());
    cr_assert(contains(response, "Retry-After: 0.750\r\n"));
    cr_assert(contains(response, "not-run"));
    cr_assert_eq(test.limits.recorded_requests.at(0).amount, 1540);
    cr_assert_eq(test.limits.returned_amount, 0);
    cr_assert_eq(backend.requests(), 0);
}

/// With the setting off, a draw must be the same as before there was an order.
Test(organisations, draws_have_no_order_by_default)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.exchange(test.request("GET", "/later/x", first_key));
    const quota_request& drawn = test.limits.recorded_requests.at(0);
    cr_assert(drawn.order == draw_order());
    cr_assert(drawn.longest_wait == 2s);
}

Test(organisations, draws_carry_their_class_and_the_time_to_wait)
{
    recording_backend backend(ok_response);
    forward::forward_options options;
    options.urgency_window = 8s;
    forward_fixture test({&backend.server}, {}, options);
    test.use_organisations();
    test.exchange(test.request("GET", "/later/x", first_key));
    test.exchange(test.request("GET", "/once/x", first_key));
    std::string urgent = test.request("GET", "/later/x", first_key);
    const std::string_view usual_deadline = "30000";
    urgent.replace(urgent.find(usual_deadline), usual_deadline.size(), "3000");
    test.exchange(urgent);
    const auto& drawn = test.limits.recorded_requests;
    cr_assert_eq(drawn.size(), 3);
    cr_assert_eq(drawn[0].order.urgency_class, 2);
    cr_assert_eq(drawn[0].order.objective_in_us, 8'000'000);
    cr_assert(drawn[0].longest_wait == 2s);
    cr_assert_eq(drawn[1].order.urgency_class, 0);
    // An order that equals the default one would not be sent.
    cr_assert_neq(drawn[1].order.objective_in_us, draw_order::no_objective);
    cr_assert_leq(drawn[2].order.objective_in_us, 3'000'000);
}

Test(organisations, an_organisation_without_a_limit_needs_no_quota)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.limits.decision = {0, false, {}, 750ms};
    const std::string response =
        test.exchange(test.request("GET", "/once/x", second_key));
    cr_assert(response.starts_with("HTTP/1.1 200 "));
    cr_assert(test.limits.recorded_requests.empty());
}

Test(organisations, quota_of_a_request_that_did_not_run_is_returned)
{
    recording_backend backend(not_run_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    const std::string response =
        test.exchange(test.request("POST", "/once/x", first_key));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert_eq(test.limits.recorded_requests.at(0).amount, 200);
    cr_assert_eq(test.limits.returned_amount, 200);
}

Test(organisations, quota_of_a_request_that_ran_is_not_returned)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.exchange(test.request("POST", "/once/x", first_key));
    cr_assert_eq(test.limits.returned_amount, 0);
}

Test(organisations, quota_is_returned_if_the_caller_leaves_while_waiting)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    test.limits.decision = {0, true, 60s, {}};
    test.disconnect_during_quota_wait(
        test.request("GET", "/once/x", first_key));
    const auto returned_tokens = [&]
    {
        const std::lock_guard lock(test.limits.mutex);
        return test.limits.returned_amount;
    };
    while (returned_tokens() == 0)
        std::this_thread::sleep_for(1ms);
    cr_assert_eq(returned_tokens(), 200);
    cr_assert_eq(backend.requests(), 0);
}

/// Only the head was checked.
Test(organisations, a_key_in_a_trailer_is_not_believed)
{
    recording_backend backend(ok_response);
    forward_fixture test({&backend.server});
    test.use_organisations();
    const std::string response = test.exchange(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n" +
        std::string(first_key) + "\r\n");
    cr_assert(response.starts_with("HTTP/1.1 401 "), "%s", response.c_str());
    cr_assert_eq(backend.requests(), 0);
}
