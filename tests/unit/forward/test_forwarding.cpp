#include "forward_fixture.hpp"

#include <atomic>
#include <future>
#include <string>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

constexpr std::string_view sealed =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Content-Length: 5\r\n\r\nhello";

constexpr std::string_view not_run =
    "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 9c41\r\n"
    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

constexpr std::string_view stream_head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends the same bytes in response to each request.
fake_backend::script always(std::string_view bytes)
{
    return [bytes](backend_peer& peer)
    {
        while (!peer.read_request().empty())
            peer.send(bytes);
    };
}

/// Sends these bytes in response to one request and closes the connection.
fake_backend::script once_and_close(std::string bytes)
{
    return [bytes = std::move(bytes)](backend_peer& peer)
    {
        if (!peer.read_request().empty())
            peer.send(bytes);
        peer.shut_down();
    };
}

bool has(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace

Test(forwarding, passes_an_answer_on_as_it_is)
{
    fake_backend backend(always(sealed));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("GET", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 200 OK\r\n"), "%s", answer.c_str());
    cr_assert(has(answer, "Response-Seal: 3e1b\r\n"));
    cr_assert(has(answer, "Content-Length: 5\r\n"));
    cr_assert(answer.ends_with("\r\n\r\nhello"));
}

Test(forwarding, a_servers_failure_keeps_its_status_and_signature)
{
    fake_backend backend(
        always("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: 9c41\r\n"
               "Response-Seal: 77\r\nContent-Length: 2\r\n\r\nno"));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("GET", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 500 "));
    cr_assert(has(answer, "Response-Seal: 77\r\n"));
    cr_assert_eq(backend.connections(), 1);
}

Test(forwarding, a_cut_answer_is_never_given_as_whole)
{
    fake_backend backend(once_and_close(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
        "Content-Length: 50\r\n\r\nhello"));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
    cr_assert_not(has(answer, "Response-Seal"));
    cr_assert_eq(backend.connections(), 1, "retried although it may have run");
}

Test(forwarding, an_idempotent_request_is_sent_again_after_a_cut_answer)
{
    fake_backend first(once_and_close("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                                      "Content-Length: 50\r\n\r\nhello"));
    fake_backend second(once_and_close("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                                       "Content-Length: 50\r\n\r\nhello"));
    forward_fixture test({&first, &second});
    const std::string answer = test.exchange(test.request("GET", "/again/x"));
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
    cr_assert_eq(first.connections() + second.connections(), 2);
}

Test(forwarding, a_refused_request_goes_to_another_server)
{
    std::atomic<int> refused{0};
    const auto refuse_first = [&refused](backend_peer& peer)
    {
        while (!peer.read_request().empty())
            peer.send(refused++ == 0 ? not_run : sealed);
    };
    fake_backend first(refuse_first);
    fake_backend second(refuse_first);
    forward_fixture test({&first, &second});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
    cr_assert_eq(first.connections(), 1);
    cr_assert_eq(second.connections(), 1);
}

Test(forwarding, what_no_server_ran_is_refused_as_not_run)
{
    fake_backend backend(always(not_run));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(has(answer, "\"verdict\":\"not-run\""));
}

/// Without the report, other requests of this router would try the same server
/// in vain.
Test(forwarding, a_server_that_can_not_be_connected_to_is_told_of)
{
    auto gone = std::make_unique<fake_backend>(always(sealed));
    forward_fixture test({gone.get()});
    gone.reset();
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(has(answer, "\"verdict\":\"not-run\""));
    cr_assert_eq(test.unreached().at(0), "i-1");
}

/// The connection broke after it was opened, so the server was reachable.
Test(forwarding, a_broken_connection_is_not_one_that_could_not_be_opened)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.shut_down();
        });
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 50"), "%s", answer.c_str());
    cr_assert(test.unreached().empty());
}

Test(forwarding, an_answer_to_another_request_is_dropped)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            while (!peer.read_request().empty())
            {
                peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                          "Content-Length: 5\r\n\r\nwrong");
                peer.send(sealed);
            }
        });
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("GET", "/once/x"));
    cr_assert(answer.ends_with("\r\n\r\nhello"), "%s", answer.c_str());
}

Test(forwarding, bytes_after_an_answer_belong_to_no_request)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            while (!peer.read_request().empty())
                peer.send(
                    std::string(sealed) + "HTTP/1.1 200 OK\r\nAttempt-Id: "
                                          "9c41\r\nContent-Length: 5"
                                          "\r\n\r\nwrong");
        });
    forward_fixture test({&backend});
    for (int i = 0; i < 3; ++i)
    {
        const std::string answer =
            test.exchange(test.request("GET", "/again/x"));
        cr_assert(answer.ends_with("\r\n\r\nhello"), "%s", answer.c_str());
    }
    cr_assert_eq(
        backend.connections(), 3, "a connection with excess bytes was reused");
}

Test(forwarding, an_encoded_answer_is_not_the_servers)
{
    fake_backend backend(always(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nContent-Encoding: gzip\r\n"
        "Content-Length: 5\r\n\r\nhello"));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
}

Test(forwarding, bytes_that_are_no_answer_are_never_passed_on)
{
    fake_backend backend(once_and_close("garbage\r\n\r\n"));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
    cr_assert_not(has(answer, "garbage"));
}

Test(forwarding, an_answer_that_its_connection_ends_is_whole)
{
    fake_backend backend(once_and_close(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n\r\n"
        "hello"));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/once/x"));
    cr_assert(answer.ends_with("\r\n\r\nhello"), "%s", answer.c_str());
}

Test(forwarding, a_stream_is_passed_on_to_its_end)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(stream_head);
            peer.send_chunk("id: 1\ndata: a\n\n");
            peer.send_chunk("id: 2\ndata: b\n\n");
            peer.send("0\r\n\r\n");
        });
    forward_fixture test({&backend});
    for (const char* path : {"/stream/x", "/resume/x"})
    {
        const std::string answer = test.exchange(test.request("POST", path));
        cr_assert(has(answer, "data: a\n\n"), "%s", answer.c_str());
        cr_assert(has(answer, "data: b\n\n"));
        cr_assert(answer.ends_with("0\r\n\r\n"));
    }
}

Test(forwarding, a_cut_stream_does_not_look_whole)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(stream_head);
            peer.send_chunk("id: 1\ndata: a\n\n");
            peer.shut_down();
        });
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("POST", "/stream/x"));
    cr_assert(has(answer, "data: a\n\n"), "%s", answer.c_str());
    cr_assert_not(answer.ends_with("0\r\n\r\n"));
    cr_assert_eq(backend.connections(), 1);
}

Test(forwarding, a_resumable_stream_goes_on_after_its_last_whole_event)
{
    std::atomic<int> runs{0};
    std::promise<std::string> second_request;
    const auto run = [&](backend_peer& peer)
    {
        const std::string request = peer.read_request();
        if (request.empty())
            return;
        peer.send(stream_head);
        if (runs++ == 0)
        {
            peer.send_chunk("id: 1\ndata: a\n\nid: 2\nda");
            peer.shut_down();
            return;
        }
        second_request.set_value(request);
        peer.send_chunk("id: 2\ndata: b\n\n");
        peer.send("0\r\n\r\n");
    };
    fake_backend first(run);
    fake_backend second(run);
    forward_fixture test({&first, &second});
    const std::string answer = test.exchange(test.request("POST", "/resume/x"));
    cr_assert(answer.ends_with("0\r\n\r\n"), "%s", answer.c_str());
    cr_assert(has(answer, "id: 1\ndata: a\n\n"));
    cr_assert(has(answer, "id: 2\ndata: b\n\n"));
    cr_assert_eq(answer.find("id: 2"), answer.rfind("id: 2"));
    cr_assert_eq(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
    cr_assert(has(second_request.get_future().get(), "Last-Event-Id: 1\r\n"));
}

Test(forwarding, a_caller_that_leaves_ends_the_run)
{
    std::promise<void> closed;
    fake_backend backend(
        [&closed](backend_peer& peer)
        {
            if (peer.read_request().empty())
                return;
            peer.send(stream_head);
            peer.send_chunk("id: 1\ndata: a\n\n");
            peer.wait_for_close();
            closed.set_value();
        });
    forward_fixture test({&backend});
    test.leave(test.request("POST", "/stream/x"));
    closed.get_future().wait();
}

Test(forwarding, two_lengths_are_refused_and_reach_nobody)
{
    fake_backend backend(always(sealed));
    forward_fixture test({&backend});
    for (const char* framing :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n",
          "Transfer-Encoding: chunked, chunked\r\n"})
    {
        const std::string answer = test.exchange(
            std::string("POST /once/x HTTP/1.1\r\nHost: h.example\r\n") +
            framing + "\r\nabc");
        cr_assert(answer.starts_with("HTTP/1.1 400 "), "%s", answer.c_str());
    }
    cr_assert_eq(backend.connections(), 0);
}

Test(forwarding, what_has_no_route_is_not_found)
{
    fake_backend backend(always(sealed));
    forward_fixture test({&backend});
    const std::string answer = test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(answer.starts_with("HTTP/1.1 404 "), "%s", answer.c_str());
}

/// Guards against a 404 for routes of a newer configuration, from a router that
/// knew it was outdated. Callers do not retry after a 404.
Test(forwarding, what_a_newer_configuration_may_have_is_not_called_unknown)
{
    fake_backend backend(always(sealed));
    forward_fixture test({&backend});
    test.is_behind = true;
    const std::string answer = test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(answer.find("Retry-After: 0.5") != std::string::npos);
    cr_assert(answer.find("outdated") != std::string::npos);
    const std::string known = test.exchange(test.request("GET", "/again/"));
    cr_assert(known.starts_with("HTTP/1.1 200 "), "%s", known.c_str());
}

Test(forwarding, before_a_configuration_everything_may_come_back)
{
    fake_backend backend(always(sealed));
    forward_fixture test({&backend});
    test.without_table();
    const std::string answer = test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(answer.starts_with("HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(has(answer, "Retry-After: "));
}
