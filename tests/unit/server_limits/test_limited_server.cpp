#include "forward_fixture.hpp"

#include <atomic>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

/// Announces a limit of one request per 100 s, so only the first few requests
/// pass during the test.
constexpr std::string_view limited_answer =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Server-Limit: 0.01\r\nContent-Length: 5\r\n\r\nhello";

/// Number of requests allowed on top of 1.5 times the limit.
constexpr int max_requests = 5;

} // namespace

/// Guards against a router that exceeds a limit although the server announced
/// it to that router.
Test(server_limits, a_router_keeps_to_an_announced_limit)
{
    std::atomic<int> requests = 0;
    fake_backend backend(
        [&requests](backend_peer& peer)
        {
            while (!peer.read_request().empty())
            {
                ++requests;
                peer.send(limited_answer);
            }
        });
    forward_fixture test({&backend});
    constexpr int sent = 30;
    for (int i = 0; i < sent; ++i)
        test.exchange(test.request("GET", "/again/x"));
    cr_assert_leq(requests, max_requests, "%d requests", requests.load());
}
