#include "adapters/forward/forward_request.hpp"
#include "adapters/forward/local_response.hpp"
#include "platform/header_names.hpp"

#include <boost/asio/buffer.hpp>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::forward;
using namespace std::chrono_literals;

namespace
{

forward_request parse(std::string_view text)
{
    edge::caller_parser parser;
    boost::system::error_code error;
    const std::size_t head =
        parser.put(boost::asio::buffer(text.data(), text.size()), error);
    cr_assert(not error, "%s", error.message().c_str());
    forward_request request =
        make_forward_request(parser.get(), users_platform::make_header_names());
    text.remove_prefix(head);
    parser.eager(true);
    if (!parser.is_done())
        parser.put(boost::asio::buffer(text.data(), text.size()), error);
    cr_assert(not error, "%s", error.message().c_str());
    cr_assert(parser.is_done());
    request.body =
        std::make_shared<const std::string>(std::move(parser.get().body()));
    return request;
}

/// @return The request as sent to a backend server.
std::string bytes_of(
    const forward_request& request,
    const header_names& names,
    const attempt_headers& attempt)
{
    const outgoing_request made =
        make_outgoing_request(request, names, attempt);
    return made.head + *made.body;
}

const std::string_view typical_request =
    "POST /a/b?c HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
    "Last-Event-Id: 12\r\nModel: m1/a3\r\nToken-Usage: 1460,80\r\n"
    "Deadline-Ms: 6000\r\nX-Own: 1\r\nX-Own: 2\r\nContent-Length: 3\r\n"
    "\r\nabc";

} // namespace

Test(forward_request, extracts_target_and_headers)
{
    const forward_request request = parse(typical_request);
    cr_assert_eq(request.target, "/a/b?c");
    cr_assert_eq(request.host, "h.example");
    cr_assert_eq(request.id, "9c41");
    cr_assert_eq(request.model, "m1/a3");
    cr_assert(*request.deadline == 6s);
    cr_assert_eq(*request.body, "abc");
    cr_assert(request.keep_alive);
}

Test(forward_request, forwards_caller_headers_and_adds_attempt_headers)
{
    const forward_request request = parse(typical_request);
    const std::string bytes = bytes_of(
        request, users_platform::make_header_names(), {1500ms, "i-7", 2U, {}});
    cr_assert_eq(
        bytes,
        "POST /a/b?c HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
        "Model: m1/a3\r\nToken-Usage: 1460,80\r\nX-Own: 1\r\nX-Own: 2\r\n"
        "Deadline-Ms: 1500\r\nExpect-Instance: i-7\r\nRequest-Priority: 2\r\n"
        "Last-Event-Id: 12\r\nContent-Length: 3\r\n\r\nabc");
}

Test(forward_request, a_resumed_stream_sends_the_routers_last_event_id)
{
    const std::string bytes = bytes_of(
        parse(typical_request),
        users_platform::make_header_names(),
        {1500ms, "i-7", {}, "19"});
    cr_assert_neq(bytes.find("Last-Event-Id: 19\r\n"), std::string::npos);
    cr_assert_eq(bytes.find("Last-Event-Id: 12"), std::string::npos);
}

/// Headers that only the router sets must not come from a caller, and
/// hop-by-hop headers must not reach a server.
Test(forward_request, drops_reserved_and_hop_by_hop_headers)
{
    const forward_request request = parse(
        "GET / HTTP/1.1\r\nHost: h\r\nHold: 1\r\npin-ms: 5\r\nKv-From: x\r\n"
        "KV-BACKUP: x\r\nKv-Fetch: x\r\nExpect-Instance: i\r\n"
        "Expect-Version: 3\r\nRequest-Priority: 0\r\nConnection: keep-alive, "
        "x-hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
        "Upgrade: h2c\r\nProxy-Connection: close\r\nAttempt-Id: 1\r\n\r\n");
    cr_assert_eq(request.header_lines, "Host: h\r\nAttempt-Id: 1\r\n");
}

Test(forward_request, a_chunked_body_is_forwarded_with_content_length)
{
    const forward_request request =
        parse("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    const std::string bytes = bytes_of(
        request, users_platform::make_header_names(), {1s, "", {}, {}});
    cr_assert_eq(
        bytes,
        "POST / HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 1000\r\n"
        "Content-Length: 3\r\n\r\nabc");
}

Test(forward_request, a_malformed_deadline_is_ignored)
{
    for (const char* text : {"soon", "-5", "5s", ""})
    {
        const std::string head = "GET / HTTP/1.1\r\nHost: h\r\nDeadline-Ms: ";
        cr_assert_not(parse(head + text + "\r\n\r\n").deadline.has_value());
    }
}

Test(forward_request, a_repeated_request_has_the_same_fingerprint)
{
    const fingerprint first = parse(typical_request).content_fingerprint();
    cr_assert_eq(first, parse(typical_request).content_fingerprint());
    std::string other(typical_request);
    other.back() = 'd';
    cr_assert_neq(first, parse(other).content_fingerprint());
    std::string again(typical_request);
    again.replace(again.find("9c41"), 4, "9c42");
    cr_assert_eq(
        first,
        parse(again).content_fingerprint(),
        "the fingerprint depends on the attempt ID");
}

/// Status 503 promises that the request has not run.
Test(local_response, only_a_request_that_did_not_run_gets_503)
{
    for (const refusal_reason reason :
         {refusal_reason::deadline,
          refusal_reason::backend_failed,
          refusal_reason::draining,
          refusal_reason::retries_exhausted})
    {
        cr_assert_eq(make_local_response(reason, verdict::not_run).status, 503);
        const unsigned status =
            make_local_response(reason, verdict::may_have_run).status;
        cr_assert(status == 502 || status == 504);
    }
}

Test(local_response, sets_retry_after)
{
    const std::string bytes = to_bytes(
        make_local_response(refusal_reason::deadline, verdict::not_run, 250ms),
        users_platform::make_header_names(),
        "9c41",
        false,
        false);
    cr_assert_neq(bytes.find("Retry-After: 0.250\r\n"), std::string::npos);
    cr_assert_neq(bytes.find("Attempt-Id: 9c41\r\n"), std::string::npos);
    cr_assert_neq(bytes.find("Connection: close\r\n"), std::string::npos);
    cr_assert(bytes.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
}

Test(forward_request, sums_the_tokens_that_the_caller_states)
{
    const auto tokens_of = [](std::string_view value)
    {
        std::string text = "GET / HTTP/1.1\r\nHost: h\r\nToken-Usage: ";
        text += value;
        text += "\r\n\r\n";
        return parse(text).tokens;
    };
    cr_assert(tokens_of("1460,80") == 1540);
    cr_assert(tokens_of("4294967295,4294967295") == 8589934590ULL);
    for (const std::string_view wrong : {"", "1460", "1460,", "1,2,3", "-1,2"})
        cr_assert(!tokens_of(wrong));
}
