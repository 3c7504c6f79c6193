#include "forward_fixture.hpp"

#include <atomic>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

/// One request in a hundred seconds: no more than the first ones pass while a
/// test runs.
constexpr std::string_view limited =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Server-Limit: 0.01\r\nContent-Length: 5\r\n\r\nhello";

/// What is allowed beside one and a half times the limit.
constexpr int slack = 5;

} // namespace

/// Guards against more requests than a server had named, from a router that it
/// had told.
Test(server_limits, a_server_that_named_a_limit_gets_no_more_than_it)
{
    std::atomic<int> requests = 0;
    fake_backend backend(
        [&requests](backend_peer& peer)
        {
            while (!peer.read_request().empty())
            {
                ++requests;
                peer.send(limited);
            }
        });
    forward_fixture test({&backend});
    constexpr int sent = 30;
    for (int i = 0; i < sent; ++i)
        test.exchange(test.request("GET", "/again/x"));
    cr_assert_leq(requests, slack, "%d requests", requests.load());
}
