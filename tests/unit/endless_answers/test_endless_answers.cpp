// A server may send bytes without end, in a head or a body. The router closes
// the connection after a bounded number of them, and treats the run as broken.

#include "adapters/platform/endpoint.hpp"
#include "adapters/platform/http_client.hpp"
#include "endless_server.hpp"
#include "forward_fixture.hpp"
#include "response_view.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward::tests;

namespace
{

constexpr std::size_t mebibyte = std::size_t(1) << 20;

/// Bytes that the kernel may hold on their way.
constexpr std::size_t in_transit = 12 * mebibyte;

const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string event_stream = "Content-Type: text/event-stream\r\n";

struct endless_case
{
    std::string name;
    std::string route;
    endless_bytes bytes;
    std::size_t limit; ///< of the bytes that the router takes
};

/// One entry for each place where bytes may come without end.
std::vector<endless_case> all_cases()
{
    const std::size_t small = mebibyte;
    return {
        {"a head", "/once/x", {head + "X-A: ", "aaaaaaaa"}, small},
        {"lines of a head", "/once/x", {head, "X-A: a\r\n"}, small},
        {"interim heads",
         "/once/x",
         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
         small},
        {"bytes that are no answer", "/once/x", {"", "\x01\x02zzzz"}, small},
        {"an answer to another request",
         "/once/x",
         {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + chunked + "\r\n",
          "4\r\naaaa\r\n"},
         small},
        {"a body without a length",
         "/once/x",
         {head + "\r\n", "aaaaaaaa"},
         8 * mebibyte},
        {"a body with a large length",
         "/once/x",
         {head + "Content-Length: 900000000000\r\n\r\n", "aaaaaaaa"},
         8 * mebibyte},
        {"chunks",
         "/once/x",
         {head + chunked + "\r\n", "4\r\naaaa\r\n"},
         16 * mebibyte},
        {"an extension of a chunk",
         "/once/x",
         {head + chunked + "\r\n4;a=", "aaaaaaaa"},
         small},
        {"trailers",
         "/once/x",
         {head + chunked + "\r\n0\r\n", "X-A: a\r\n"},
         small},
        {"comments of a stream",
         "/stream/x",
         {head + event_stream + "\r\n", ": ping\n\n"},
         small},
        {"comments of a resumable stream",
         "/resume/x",
         {head + event_stream + "\r\n", ": ping\n\n"},
         2 * small},
        {"empty lines of a stream",
         "/stream/x",
         {head + event_stream + "\r\n", "\n\n\n\n"},
         small},
        {"an event of a stream",
         "/stream/x",
         {head + event_stream + "\r\ndata: ", "aaaaaaaa"},
         small},
        {"lines of an event",
         "/resume/x",
         {head + event_stream + "\r\n", "data: a\n"},
         2 * small},
        {"events of a stream",
         "/stream/x",
         {head + event_stream + "\r\n", "id: 1\ndata: a\n\n"},
         32 * mebibyte}};
}

} // namespace

Test(endless_answers, each_kind_of_bytes_without_end_is_bounded)
{
    for (const endless_case& one : all_cases())
    {
        endless_server server(one.bytes);
        forward_fixture test({&server.backend()});
        const response_view seen =
            view_response(test.exchange(test.request("POST", one.route)));
        cr_expect_not(
            seen.is_complete && seen.status == 200, "%s", one.name.c_str());
        cr_expect_lt(
            server.sent(),
            one.limit + in_transit,
            "%s: %zu bytes were taken",
            one.name.c_str(),
            server.sent());
        const std::lock_guard lock(test.crashes.mutex);
        cr_expect_geq(
            test.crashes.broken_runs.size(), 1, "%s", one.name.c_str());
    }
}

Test(endless_answers, bytes_after_an_answer_end_the_connection)
{
    endless_server server({"", "aaaaaaaa"}, 1);
    forward_fixture test({&server.backend()});
    const std::string first = test.exchange(test.request("POST", "/again/x"));
    cr_expect(first.starts_with("HTTP/1.1 200 "), "%s", first.c_str());
    test.exchange(test.request("POST", "/again/x"));
    cr_expect_lt(server.sent(), in_transit, "%zu", server.sent());
}

Test(endless_answers, many_servers_without_end_at_once_are_bounded)
{
    constexpr std::size_t server_count = 50;
    std::vector<std::unique_ptr<endless_server>> servers;
    std::vector<fake_backend*> backends;
    const endless_bytes comments{head + event_stream + "\r\n", ": ping\n\n"};
    for (std::size_t i = 0; i < server_count; ++i)
    {
        servers.push_back(std::make_unique<endless_server>(comments));
        backends.push_back(&servers.back()->backend());
    }
    forward_fixture test(backends);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < server_count; ++i)
        callers.emplace_back(
            [&test]
            {
                test.exchange(test.request("POST", "/stream/x"));
            });
    for (std::thread& caller : callers)
        caller.join();
    std::size_t taken = 0;
    for (const auto& server : servers)
        taken += server->sent();
    cr_expect_lt(taken, server_count * (mebibyte + in_transit), "%zu", taken);
}

Test(endless_answers, a_slow_answer_without_end_lasts_until_the_deadline)
{
    fake_backend slow(
        [](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(head + event_stream + "\r\n");
            boost::system::error_code error;
            while (!error)
            {
                boost::asio::write(
                    peer.socket, boost::asio::buffer(": ping\n\n", 8), error);
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        });
    forward_fixture test({&slow});
    std::string request = test.request("POST", "/stream/x");
    const std::string limit = "Deadline-Ms: 30000";
    request.replace(request.find(limit), limit.size(), "Deadline-Ms: 300");
    const response_view seen = view_response(test.exchange(request));
    cr_expect_not(seen.is_complete);
}

Test(endless_answers, calls_to_engines_and_the_store_are_bounded)
{
    const endless_case cases[] = {
        {"a head", "", {head + "X-A: ", "aaaaaaaa"}, mebibyte},
        {"a body without a length", "", {head + "\r\n", "aaaaaaaa"}, mebibyte},
        {"a large length",
         "",
         {head + "Content-Length: 900000000000\r\n\r\n", "aaaaaaaa"},
         mebibyte},
        {"chunks",
         "",
         {head + chunked + "\r\n", "4\r\naaaa\r\n"},
         4 * mebibyte},
        {"an extension of a chunk",
         "",
         {head + chunked + "\r\n4;a=", "aaaaaaaa"},
         mebibyte},
        {"trailers",
         "",
         {head + chunked + "\r\n0\r\n", "X-A: a\r\n"},
         mebibyte},
        {"bytes that are no answer", "", {"", "zzzzzzzz"}, mebibyte}};
    for (const endless_case& one : cases)
    {
        endless_server server(one.bytes);
        boost::asio::io_context loop;
        platform::byte_meter meter;
        platform::http_client::options settings;
        settings.max_answer_bytes = mebibyte;
        platform::http_client client(
            loop.get_executor(),
            *platform::parse_endpoint(server.address()),
            settings,
            meter);
        platform::http_call call;
        call.target = "/report";
        call.timeout = std::chrono::seconds(20);
        platform::http_answer received;
        boost::asio::co_spawn(
            loop,
            client.send(std::move(call)),
            [&](const std::exception_ptr&, platform::http_answer answer)
            {
                received = std::move(answer);
            });
        loop.run();
        cr_expect(
            received.outcome == platform::exchange_outcome::no_answer,
            "%s",
            one.name.c_str());
        cr_expect_lt(
            received.received, one.limit + 65'536, "%s", one.name.c_str());
        cr_expect_lt(
            server.sent(), one.limit + in_transit, "%s", one.name.c_str());
    }
}
