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

constexpr std::string_view sealed =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Content-Length: 5\r\n\r\nhello";

constexpr std::string_view not_run =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 9c41\r\n"
    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

constexpr std::string_view first_key = "Authorization: Bearer key-one\r\n";
constexpr std::string_view second_key = "authorization: bearer key-two\r\n";

bool has(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

/// Sends the same response to all requests and records the last request.
struct keeping_backend
{
    explicit keeping_backend(std::string_view answer)
        : server(
              [this, answer](backend_peer& peer)
              {
                  for (std::string head = peer.read_request(); !head.empty();
                       head = peer.read_request())
                  {
                      {
                          const std::lock_guard lock(this->mutex);
                          this->last = head;
                          ++this->count;
                      }
                      peer.send(answer);
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

Test(organisations, the_holder_is_named_and_the_key_stays_here)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    const std::string answer = test.exchange(test.request(
        "GET", "/once/x", std::string(first_key) + "Tenant: somebody\r\n"));
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    const std::string sent = backend.last_request();
    cr_assert(has(sent, "Tenant: o1\r\n"), "%s", sent.c_str());
    cr_assert_not(has(sent, "somebody"));
    cr_assert_not(has(sent, "key-one"));
    cr_assert_not(has(sent, "uthorization"));
}

Test(organisations, an_unknown_or_absent_key_is_turned_away_and_not_sent)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    for (const std::string_view headers :
         {"",
          "Authorization: Bearer other\r\n",
          "Authorization: Bearer \r\n",
          "Authorization: Basic key-one\r\n",
          "Authorization: Bearer key-one\r\nAuthorization: Bearer key-two\r\n"})
    {
        const std::string answer =
            test.exchange(test.request("GET", "/once/x", headers));
        cr_assert(answer.starts_with("HTTP/1.1 401 "), "%s", answer.c_str());
        cr_assert(has(answer, "WWW-Authenticate: Bearer\r\n"));
        cr_assert(has(answer, "not-run"));
    }
    cr_assert_eq(backend.requests(), 0);
}

Test(organisations, a_keyless_route_serves_everybody)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    const std::string answer = test.exchange(
        test.request("GET", "/open/x", "Tenant: o1\r\nX-Own: 1\r\n"));
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    cr_assert_not(has(backend.last_request(), "Tenant"));
    cr_assert(has(backend.last_request(), "X-Own: 1\r\n"));
    test.exchange(test.request("GET", "/open/x", second_key));
    cr_assert(has(backend.last_request(), "Tenant: o2\r\n"));
    cr_assert_not(has(backend.last_request(), "key-two"));
}

Test(organisations, without_organisations_credentials_are_the_services)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.exchange(test.request("GET", "/once/x", first_key));
    cr_assert(has(backend.last_request(), std::string(first_key)));
}

Test(organisations, before_a_configuration_nobody_is_told_of_keys)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.without_table();
    const std::string answer = test.exchange(
        test.request("GET", "/once/x", "Authorization: Bearer other\r\n"));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
}

Test(organisations, a_dropped_key_counts_no_more_on_a_kept_connection)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.exchange(test.request("GET", "/once/x", first_key));
    test.drop_first_key();
    const std::string answer =
        test.exchange(test.request("GET", "/once/x", first_key));
    cr_assert(answer.starts_with("HTTP/1.1 401 "), "%s", answer.c_str());
    cr_assert_eq(backend.requests(), 1);
}

Test(organisations, a_key_dropped_while_its_request_waits_is_not_served)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.limits.next = {0, true, 300ms, {}};
    auto answer = std::async(
        std::launch::async,
        [&]
        {
            return test.exchange(test.request("GET", "/once/x", first_key));
        });
    const auto has_asked = [&]
    {
        const std::lock_guard lock(test.limits.mutex);
        return !test.limits.asked.empty();
    };
    while (!has_asked())
        std::this_thread::sleep_for(1ms);
    test.drop_first_key();
    const std::string text = answer.get();
    cr_assert(text.starts_with("HTTP/1.1 401 "), "%s", text.c_str());
    cr_assert_eq(backend.requests(), 0);
    cr_assert_eq(test.limits.returned, 200);
}

Test(organisations, a_limit_that_is_reached_refuses_with_a_time)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.limits.next = {0, false, {}, 750ms};
    const std::string answer = test.exchange(test.request(
        "GET", "/once/x", std::string(first_key) + "Token-Usage: 1460,80\r\n"));
    cr_assert(answer.starts_with("HTTP/1.1 429 "), "%s", answer.c_str());
    cr_assert(has(answer, "Retry-After: 0.750\r\n"));
    cr_assert(has(answer, "not-run"));
    cr_assert_eq(test.limits.asked.at(0).amount, 1540);
    cr_assert_eq(test.limits.returned, 0);
    cr_assert_eq(backend.requests(), 0);
}

Test(organisations, one_without_a_limit_is_not_counted)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.limits.next = {0, false, {}, 750ms};
    const std::string answer =
        test.exchange(test.request("GET", "/once/x", second_key));
    cr_assert(answer.starts_with("HTTP/1.1 200 "));
    cr_assert(test.limits.asked.empty());
}

Test(organisations, tokens_of_what_did_not_run_are_given_back)
{
    keeping_backend backend(not_run);
    forward_fixture test({&backend.server});
    test.with_organisations();
    const std::string answer =
        test.exchange(test.request("POST", "/once/x", first_key));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert_eq(test.limits.asked.at(0).amount, 200);
    cr_assert_eq(test.limits.returned, 200);
}

Test(organisations, tokens_of_what_ran_are_used)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.exchange(test.request("POST", "/once/x", first_key));
    cr_assert_eq(test.limits.returned, 0);
}

Test(organisations, a_caller_that_leaves_while_it_waits_gives_its_tokens_back)
{
    keeping_backend backend(sealed);
    forward_fixture test({&backend.server});
    test.with_organisations();
    test.limits.next = {0, true, 60s, {}};
    test.depart(test.request("GET", "/once/x", first_key));
    const auto returned = [&]
    {
        const std::lock_guard lock(test.limits.mutex);
        return test.limits.returned;
    };
    while (returned() == 0)
        std::this_thread::sleep_for(1ms);
    cr_assert_eq(returned(), 200);
    cr_assert_eq(backend.requests(), 0);
}
