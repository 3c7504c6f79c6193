#include "forward_fixture.hpp"

#include <boost/asio/read.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace roseworks::forward::tests;

namespace
{

constexpr std::string_view stream_head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends the same bytes in response to each request.
fake_backend::script send_always(std::string_view bytes)
{
    return [bytes = std::string(bytes)](backend_peer& peer)
    {
        while (!peer.read_request().empty())
            peer.send(bytes);
    };
}

/// Sends these bytes in response to one request and closes the connection.
fake_backend::script send_once_and_close(std::string bytes)
{
    return [bytes = std::move(bytes)](backend_peer& peer)
    {
        if (!peer.read_request().empty())
            peer.send(bytes);
        peer.shut_down();
    };
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace

Test(forwarding, forwards_a_response_unchanged)
{
    fake_backend backend(send_always(ok_response));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("GET", "/once/x"));
    cr_assert(
        response.starts_with("HTTP/1.1 200 OK\r\n"), "%s", response.c_str());
    cr_assert(contains(response, "Response-Seal: 3e1b\r\n"));
    cr_assert(contains(response, "Content-Length: 5\r\n"));
    cr_assert(response.ends_with("\r\n\r\nhello"));
}

/// Guards against an answer whose status HTTP doesn't have reaching a caller,
/// or being taken for an interim one, after which the final one is awaited.
Test(forwarding, an_answer_without_a_valid_status_is_no_answer)
{
    for (const std::string status : {"000", "099", "600", "999"})
    {
        fake_backend backend(send_always(
            "HTTP/1.1 " + status +
            " Odd\r\nAttempt-Id: 9c41\r\nContent-Length: 5\r\n\r\nhello"));
        forward_fixture test({&backend});
        const std::string response =
            test.exchange(test.request("GET", "/once/x"));
        cr_expect(
            response.starts_with("HTTP/1.1 502 "),
            "%s: %s",
            status.c_str(),
            response.c_str());
    }
}

/// Guards against the beginning of an answer without a length being taken for
/// all of it, if the server ends it and resets while it is still sent a body.
Test(forwarding, an_early_answer_that_ends_with_a_reset_is_not_complete)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            char byte = 0;
            boost::asio::read(peer.socket, boost::asio::buffer(&byte, 1));
            peer.send(
                "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b"
                "\r\n\r\npart");
            boost::system::error_code ignored;
            peer.socket.shutdown(
                boost::asio::ip::tcp::socket::shutdown_send, ignored);
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            peer.socket.set_option(
                boost::asio::socket_base::linger(true, 0), ignored);
            peer.socket.close(ignored);
        });
    forward_fixture test({&backend});
    const std::string body(std::size_t(3) << 20, 'x');
    std::string request = test.request(
        "POST",
        "/once/x",
        "Content-Length: " + std::to_string(body.size()) + "\r\n");
    const std::string response = test.exchange(request + body);
    cr_assert(response.starts_with("HTTP/1.1 502 "), "%s", response.c_str());
}

Test(forwarding, a_server_error_keeps_its_status_and_seal)
{
    fake_backend backend(
        send_always("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: 9c41\r\n"
                    "Response-Seal: 77\r\nContent-Length: 2\r\n\r\nno"));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("GET", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 500 "));
    cr_assert(contains(response, "Response-Seal: 77\r\n"));
    cr_assert_eq(backend.connections(), 1);
}

Test(forwarding, a_truncated_response_becomes_502)
{
    fake_backend backend(send_once_and_close(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n"
        "Content-Length: 50\r\n\r\nhello"));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 502 "), "%s", response.c_str());
    cr_assert_not(contains(response, "Response-Seal"));
    cr_assert_eq(backend.connections(), 1, "retried although it may have run");
}

Test(forwarding, an_idempotent_request_is_retried_after_a_truncated_response)
{
    fake_backend first(
        send_once_and_close("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                            "Content-Length: 50\r\n\r\nhello"));
    fake_backend second(
        send_once_and_close("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                            "Content-Length: 50\r\n\r\nhello"));
    forward_fixture test({&first, &second});
    const std::string response = test.exchange(test.request("GET", "/again/x"));
    cr_assert(response.starts_with("HTTP/1.1 502 "), "%s", response.c_str());
    cr_assert_eq(first.connections() + second.connections(), 2);
}

Test(forwarding, a_refused_request_is_retried_on_another_server)
{
    std::atomic<int> refused{0};
    const auto refuse_first = [&refused](backend_peer& peer)
    {
        while (!peer.read_request().empty())
            peer.send(refused++ == 0 ? not_run_response : ok_response);
    };
    fake_backend first(refuse_first);
    fake_backend second(refuse_first);
    forward_fixture test({&first, &second});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert_eq(first.connections(), 1);
    cr_assert_eq(second.connections(), 1);
}

Test(forwarding, a_request_that_no_server_ran_gets_503_not_run)
{
    fake_backend backend(send_always(not_run_response));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert(contains(response, "\"verdict\":\"not-run\""));
}

/// Without the report, other requests of this router would try the same server
/// in vain.
Test(forwarding, a_failed_connect_is_reported)
{
    auto gone = std::make_unique<fake_backend>(send_always(ok_response));
    forward_fixture test({gone.get()});
    gone.reset();
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert(contains(response, "\"verdict\":\"not-run\""));
    cr_assert_eq(test.failed_connects().at(0), "i-1");
}

/// The connection broke after it was opened, so the server was reachable.
Test(forwarding, a_broken_connection_is_not_reported_as_a_failed_connect)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.read_request();
            peer.shut_down();
        });
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 50"), "%s", response.c_str());
    cr_assert(test.failed_connects().empty());
}

Test(forwarding, a_response_to_another_request_is_dropped)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            while (!peer.read_request().empty())
            {
                peer.send("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                          "Content-Length: 5\r\n\r\nwrong");
                peer.send(ok_response);
            }
        });
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("GET", "/once/x"));
    cr_assert(response.ends_with("\r\n\r\nhello"), "%s", response.c_str());
}

Test(forwarding, a_connection_with_excess_bytes_is_not_reused)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            while (!peer.read_request().empty())
                peer.send(
                    std::string(ok_response) + "HTTP/1.1 200 OK\r\nAttempt-Id: "
                                               "9c41\r\nContent-Length: 5"
                                               "\r\n\r\nwrong");
        });
    forward_fixture test({&backend});
    for (int i = 0; i < 3; ++i)
    {
        const std::string response =
            test.exchange(test.request("GET", "/again/x"));
        cr_assert(response.ends_with("\r\n\r\nhello"), "%s", response.c_str());
    }
    cr_assert_eq(
        backend.connections(), 3, "a connection with excess bytes was reused");
}

Test(forwarding, a_content_encoded_response_is_rejected)
{
    fake_backend backend(send_always(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nContent-Encoding: gzip\r\n"
        "Content-Length: 5\r\n\r\nhello"));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 502 "), "%s", response.c_str());
}

Test(forwarding, an_invalid_response_is_not_forwarded)
{
    fake_backend backend(send_once_and_close("garbage\r\n\r\n"));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.starts_with("HTTP/1.1 502 "), "%s", response.c_str());
    cr_assert_not(contains(response, "garbage"));
}

Test(forwarding, a_response_that_ends_with_its_connection_is_complete)
{
    fake_backend backend(send_once_and_close(
        "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Seal: 3e1b\r\n\r\n"
        "hello"));
    forward_fixture test({&backend});
    const std::string response = test.exchange(test.request("POST", "/once/x"));
    cr_assert(response.ends_with("\r\n\r\nhello"), "%s", response.c_str());
}

Test(forwarding, a_stream_is_forwarded_to_its_end)
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
        const std::string response = test.exchange(test.request("POST", path));
        cr_assert(contains(response, "data: a\n\n"), "%s", response.c_str());
        cr_assert(contains(response, "data: b\n\n"));
        cr_assert(response.ends_with("0\r\n\r\n"));
    }
}

Test(forwarding, a_head_request_for_a_stream_gets_no_body)
{
    fake_backend backend(send_always(stream_head));
    forward_fixture test({&backend});
    const std::string response =
        test.exchange(test.request("HEAD", "/stream/x"));
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert_eq(response.find("\r\n\r\n"), response.size() - 4);
}

Test(forwarding, a_truncated_stream_has_no_last_chunk)
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
    const std::string response =
        test.exchange(test.request("POST", "/stream/x"));
    cr_assert(contains(response, "data: a\n\n"), "%s", response.c_str());
    cr_assert_not(response.ends_with("0\r\n\r\n"));
    cr_assert_eq(backend.connections(), 1);
}

Test(forwarding, a_resumable_stream_continues_after_its_last_complete_event)
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
    const std::string response =
        test.exchange(test.request("POST", "/resume/x"));
    cr_assert(response.ends_with("0\r\n\r\n"), "%s", response.c_str());
    cr_assert(contains(response, "id: 1\ndata: a\n\n"));
    cr_assert(contains(response, "id: 2\ndata: b\n\n"));
    cr_assert_eq(response.find("id: 2"), response.rfind("id: 2"));
    cr_assert_eq(response.find("HTTP/1.1"), response.rfind("HTTP/1.1"));
    cr_assert(
        contains(second_request.get_future().get(), "Last-Event-Id: 1\r\n"));
}

Test(forwarding, a_disconnected_caller_closes_the_server_connection)
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
    test.disconnect_during_response(test.request("POST", "/stream/x"));
    closed.get_future().wait();
}

Test(forwarding, ambiguous_framing_gets_400_and_is_not_forwarded)
{
    fake_backend backend(send_always(ok_response));
    forward_fixture test({&backend});
    for (const char* framing :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n",
          "Transfer-Encoding: chunked, chunked\r\n"})
    {
        const std::string response = test.exchange(
            std::string("POST /once/x HTTP/1.1\r\nHost: h.example\r\n") +
            framing + "\r\nabc");
        cr_assert(
            response.starts_with("HTTP/1.1 400 "), "%s", response.c_str());
    }
    cr_assert_eq(backend.connections(), 0);
}

Test(forwarding, an_unknown_route_gets_404)
{
    fake_backend backend(send_always(ok_response));
    forward_fixture test({&backend});
    const std::string response =
        test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(response.starts_with("HTTP/1.1 404 "), "%s", response.c_str());
}

/// Guards against a 404 for routes of a newer configuration, from a router that
/// knew it was outdated. Callers do not retry after a 404.
Test(forwarding, an_unknown_route_gets_503_while_the_configuration_is_outdated)
{
    fake_backend backend(send_always(ok_response));
    forward_fixture test({&backend});
    test.is_outdated = true;
    const std::string response =
        test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert(response.find("Retry-After: 0.5") != std::string::npos);
    cr_assert(response.find("outdated") != std::string::npos);
    const std::string known = test.exchange(test.request("GET", "/again/"));
    cr_assert(known.starts_with("HTTP/1.1 200 "), "%s", known.c_str());
}

Test(forwarding, before_the_first_configuration_requests_get_retry_after)
{
    fake_backend backend(send_always(ok_response));
    forward_fixture test({&backend});
    test.clear_table();
    const std::string response =
        test.exchange(test.request("GET", "/nowhere/"));
    cr_assert(response.starts_with("HTTP/1.1 503 "), "%s", response.c_str());
    cr_assert(contains(response, "Retry-After: "));
}

/// Only the head was checked. A trailer that counted as a header could name
/// another request, another model or another caller's key.
Test(forwarding, trailers_are_not_headers)
{
    std::string received;
    fake_backend backend(
        [&received](backend_peer& peer)
        {
            received = peer.read_request();
            peer.send(ok_response);
        });
    forward_fixture test({&backend});
    const std::string response = test.exchange(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\nAttempt-Id: 77\r\nModel: other\r\nX-Mark: 1\r\n"
        "Deadline-Ms: 1\r\nLast-Event-Id: 9\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    cr_assert(received.ends_with("\r\n\r\nabc"), "%s", received.c_str());
    for (const char* name : {"Attempt-Id: 77", "Model", "X-Mark", "Last-Event"})
        cr_assert_not(contains(received, name), "%s", received.c_str());
}
