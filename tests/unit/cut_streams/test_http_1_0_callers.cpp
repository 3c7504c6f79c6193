// Callers of HTTP/1.0 know no chunks: the end of the connection ends a stream.

#include "cut_stream.hpp"
#include "forward_fixture.hpp"

#include <boost/asio/error.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

constexpr std::string_view request_line = "POST /stream/x HTTP/1.0\r\n";
constexpr std::string_view headers =
    "Host: h.example\r\nAttempt-Id: 9c41\r\nConnection: keep-alive\r\n"
    "Content-Length: 0\r\n\r\n";

struct received
{
    std::string bytes;
    boost::system::error_code end;
};

/// Requests a stream that the server cuts after this many bytes.
received call(const recorded_stream& stream, std::size_t size)
{
    const std::string whole = stream.response(stream.body());
    fake_backend backend(
        [&whole, size](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(std::string_view(whole).substr(0, size));
            peer.shut_down();
        });
    forward_fixture test({&backend});
    received result;
    result.bytes =
        test.exchange(std::string(request_line).append(headers), result.end);
    return result;
}

} // namespace

Test(http_1_0_callers, a_stream_has_no_chunks_and_ends_with_the_connection)
{
    const recorded_stream stream("\n", stream_framing::chunked);
    const received seen = call(stream, stream.response(stream.body()).size());
    cr_expect(
        seen.bytes.ends_with("\r\n\r\n" + stream.body()),
        "%s",
        seen.bytes.c_str());
    cr_expect(seen.bytes.find("chunked") == std::string::npos);
    cr_expect(seen.bytes.find("Connection: close\r\n") != std::string::npos);
    cr_expect_eq(seen.end, boost::asio::error::eof);
}

Test(http_1_0_callers, a_broken_stream_resets_the_connection)
{
    const recorded_stream stream("\n", stream_framing::chunked);
    const std::size_t whole = stream.response(stream.body()).size();
    for (std::size_t size = stream.head_size(); size < whole; ++size)
    {
        if (stream.decoded_size(size) == 0)
            continue;
        const received seen = call(stream, size);
        cr_expect_eq(
            seen.end, boost::asio::error::connection_reset, "%zu", size);
    }
}
