#include "adapters/platform/endpoint.hpp"
#include "adapters/platform/http_client.hpp"
#include "fake_backend.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks;
using roseworks::edge::tests::backend_peer;
using roseworks::edge::tests::fake_backend;
namespace asio = boost::asio;

/// An owner of placement read a configuration of 1 MB in hundreds of passes of
/// its busy event loop, and had it 1.9 s after the others.
Test(http_client, a_large_answer_is_read_in_few_steps)
{
    constexpr std::size_t size = 1'000'000;
    constexpr std::size_t max_reads = 200;
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
                "\r\n\r\n" + std::string(size, 'x'));
        });
    asio::io_context loop;
    platform::byte_meter meter;
    platform::http_client::options settings;
    settings.max_answer_bytes = 2 * size;
    platform::http_client client(
        loop.get_executor(),
        *platform::parse_endpoint(backend.address()),
        settings,
        meter);
    platform::http_call call;
    call.target = "/";
    call.timeout = std::chrono::seconds(20);
    platform::http_answer received;
    asio::co_spawn(
        loop,
        client.send(std::move(call)),
        [&](const std::exception_ptr&, platform::http_answer answer)
        {
            received = std::move(answer);
        });
    loop.run();
    cr_assert_eq(received.body.size(), size);
    cr_assert_leq(received.reads, max_reads, "%zu reads", received.reads);
}
