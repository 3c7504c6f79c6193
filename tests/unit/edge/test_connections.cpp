#include "edge_fixture.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
using namespace roseworks::edge::tests;

namespace
{

const std::string chunked_head =
    "POST /v1/completions HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

void expect_refused(
    edge_fixture& fixture, const std::string& text, unsigned status)
{
    test_caller caller = fixture.caller();
    caller.send(text);
    const auto answer = caller.read();
    cr_assert(answer.has_value(), "no answer to: %s", text.c_str());
    cr_assert_eq(
        answer->result_int(),
        status,
        "%u for: %s",
        answer->result_int(),
        text.c_str());
    cr_assert((*answer)["X-Roseworks-Verdict"] == "not-run");
    cr_assert(!answer->keep_alive());
    cr_assert(!caller.read().has_value());
}

} // namespace

Test(connections, smuggling_shapes_are_refused)
{
    edge_fixture fixture;
    fixture.start();
    const std::string post = "POST /v1/completions HTTP/1.1\r\nHost: r\r\n";
    const std::array shapes{
        post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}",
        post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ",
        post + "Content-Length: 2, 2\r\n\r\n{}",
        post + "Content-Length: +2\r\n\r\n{}",
        post + "Content-Length : 2\r\n\r\n{}",
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: identity\r\n\r\n",
        post + "X-Caller: a\r\n b\r\nContent-Length: 2\r\n\r\n{}",
        post + "X-Caller: a\rb\r\nContent-Length: 2\r\n\r\n{}",
        post + "X-Caller: a\nContent-Length: 2\r\n\r\n{}",
        post + "Host: other\r\nContent-Length: 2\r\n\r\n{}",
        "\r\n" + post + "Content-Length: 2\r\n\r\n{}",
        std::string("GET /healthz HTTP/1.1\r\n\r\n"),
        std::string("GET http://r/healthz HTTP/1.1\r\nHost: r\r\n\r\n"),
        std::string("OPTIONS * HTTP/1.1\r\nHost: r\r\n\r\n"),
        std::string("GET /a/../healthz HTTP/1.1\r\nHost: r\r\n\r\n"),
        chunked_head + "2\n{}\r\n0\r\n\r\n",
        chunked_head + "2\r\n{}xx0\r\n\r\n",
        chunked_head + "zz\r\n{}\r\n0\r\n\r\n"};
    for (const std::string& shape : shapes)
        expect_refused(fixture, shape, 400);
    cr_assert_eq(fixture.dispatch.submitted, 0);
}

Test(connections, size_limits_are_enforced)
{
    edge_options options;
    options.max_header_bytes = 1024;
    options.max_body_bytes = 100;
    edge_fixture fixture(options);
    fixture.start();
    expect_refused(
        fixture,
        "GET /healthz HTTP/1.1\r\nHost: r\r\nX: " + std::string(2000, 'x') +
            "\r\n\r\n",
        431);
    expect_refused(
        fixture,
        "POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 101\r\n"
        "\r\n",
        413);
    expect_refused(
        fixture,
        chunked_head + "80\r\n" + std::string(128, 'x') + "\r\n0\r\n\r\n",
        413);
    cr_assert_eq(fixture.dispatch.submitted, 0);
}

Test(connections, error_names_the_malformed_header)
{
    edge_fixture fixture;
    fixture.start();
    const auto answer = fixture.call(completion("X-Deadline-Ms: 0\r\n"));
    cr_assert_eq(answer.result_int(), 400);
    cr_assert(
        answer.body().find("X-Deadline-Ms takes 1 to 3600000") !=
        std::string::npos);
}

Test(connections, malformed_body_keeps_the_connection)
{
    edge_fixture fixture;
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(
        "POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n"
        "\r\n{GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n");
    cr_assert_eq(caller.read()->result_int(), 400);
    cr_assert_eq(caller.read()->result_int(), 200);
}

Test(connections, introspection_is_served)
{
    edge_fixture fixture;
    fixture.start();
    test_caller caller = fixture.caller();
    for (const char* path :
         {"/healthz", "/readyz", "/metrics", "/state", "/v1/models"})
    {
        caller.send(
            std::string("GET ") + path + " HTTP/1.1\r\nHost: r\r\n\r\n");
        const auto answer = caller.read();
        cr_assert_eq(answer->result_int(), 200);
        cr_assert((*answer)["X-Roseworks-Verdict"] == "answered");
        cr_assert(!(*answer)["X-Request-Id"].empty());
    }
}

Test(connections, expect_continue_is_answered)
{
    edge_fixture fixture;
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(
        "POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n"
        "Expect: 100-continue\r\n\r\n");
    cr_assert(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("{}");
    cr_assert_eq(caller.read()->result_int(), 400);
}

Test(connections, connections_over_the_limit_are_rejected)
{
    edge_options options;
    options.max_connections = 1;
    edge_fixture fixture(options);
    fixture.start();
    test_caller first = fixture.caller();
    first.send("GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n");
    cr_assert_eq(first.read()->result_int(), 200);
    test_caller second = fixture.caller();
    cr_assert_eq(second.read()->result_int(), 503);
}

Test(drain, running_requests_finish_and_idle_callers_are_closed)
{
    std::atomic<bool> arrived{false};
    std::atomic<bool> go_on{false};
    fake_backend backend(
        [&](backend_peer& peer)
        {
            const std::string request = peer.read_request();
            arrived = true;
            eventually(
                [&]
                {
                    return go_on.load();
                });
            peer.answer(request, "{}");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    test_caller idle = fixture.caller();
    idle.send("GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n");
    cr_assert(idle.read().has_value());
    test_caller busy = fixture.caller();
    busy.send(completion());
    cr_assert(eventually(
        [&]
        {
            return arrived.load();
        }));
    std::atomic<int> unfinished{-1};
    fixture.edge->drain(
        std::chrono::minutes(1),
        [&](std::size_t left)
        {
            unfinished = static_cast<int>(left);
        });
    cr_assert(!idle.read().has_value());
    cr_assert(fixture.dispatch.drained);
    cr_assert_eq(unfinished, -1);
    go_on = true;
    const auto answer = busy.read();
    cr_assert_eq(answer->result_int(), 200);
    cr_assert(!answer->keep_alive());
    busy.close();
    cr_assert(eventually(
        [&]
        {
            return unfinished == 0;
        }));
}

Test(drain, limit_ends_running_requests_with_an_error)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.wait_for_close();
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    test_caller busy = fixture.caller();
    busy.send(service_call());
    cr_assert(eventually(
        [&]
        {
            return backend.connections() == 1;
        }));
    std::atomic<int> unfinished{-1};
    fixture.edge->drain(
        std::chrono::milliseconds(20),
        [&](std::size_t left)
        {
            unfinished = static_cast<int>(left);
        });
    const auto answer = busy.read();
    cr_assert_eq(answer->result_int(), 503);
    cr_assert((*answer)["X-Roseworks-Verdict"] == "may-have-run");
    busy.close();
    cr_assert(eventually(
        [&]
        {
            return unfinished == 1;
        }));
}
