// Responses that aren't streams and have neither a length nor chunks.

#include "cut_stream.hpp"
#include "forward_fixture.hpp"
#include "response_view.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

constexpr std::string_view head_without_length =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n\r\n";

/// Larger than what the router reads before it forwards the first byte.
constexpr std::size_t large_body =
    2 * roseworks::forward::forward_options().max_buffered_bytes;

/// Sends a response without a length, then ends the connection.
response_view call(const std::string& body, connection_end end)
{
    fake_backend backend(
        [&body, end](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(head_without_length);
            peer.send(body);
            end_connection(peer, end);
        });
    forward_fixture test({&backend});
    return view_response(test.exchange(test.request("POST", "/once/x")));
}

} // namespace

Test(cut_responses, a_small_response_ends_with_its_connection)
{
    const response_view seen = call("hello", connection_end::closed);
    cr_expect_eq(seen.status, 200);
    cr_expect(seen.is_complete);
    cr_expect_eq(seen.body, "hello");
}

Test(cut_responses, a_small_response_that_is_reset_becomes_502)
{
    const response_view seen = call("hello", connection_end::reset);
    cr_expect_eq(seen.status, 502);
    cr_expect(seen.head.find("Response-Seal") == std::string::npos);
}

Test(cut_responses, a_large_response_ends_with_its_connection)
{
    const std::string body(large_body, 'x');
    const response_view seen = call(body, connection_end::closed);
    cr_expect(seen.is_complete);
    cr_expect_eq(seen.body.size(), body.size());
}

Test(cut_responses, a_large_response_that_is_reset_does_not_look_complete)
{
    const response_view seen =
        call(std::string(large_body, 'x'), connection_end::reset);
    cr_expect_not(seen.status == 200 && seen.is_complete);
}
