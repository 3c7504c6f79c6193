#include "edge_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
using namespace roseworks::edge::tests;

namespace
{

using end = attempt_result::end;

constexpr std::string_view tag = "ETag: \"g1\"\r\n";

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string event(int number)
{
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: token " + text + "\n\n";
}

std::string whole_stream()
{
    return event(0) + event(1) + event(2) + "data: [DONE]\n\n";
}

/// Timeouts for tests with a silent server. 1 s exceeds the scheduling delays
/// of a busy machine.
edge_options short_timeouts()
{
    edge_options options;
    options.first_byte_timeout = std::chrono::milliseconds(1000);
    options.idle_byte_timeout = std::chrono::milliseconds(1000);
    return options;
}

/// Reads and answers the cancel of the earlier run.
/// @return The next request on the same connection.
std::string request_after_cancel(backend_peer& peer)
{
    const std::string cancel = peer.read_request();
    cr_expect(contains(cancel, "/v1/engine/cancel"), "%s", cancel.c_str());
    peer.answer(cancel, "{}");
    return peer.read_request();
}

void send_first_two(backend_peer& peer, const std::string& request)
{
    peer.start_stream(request, tag);
    peer.send_chunk(event(0));
    peer.send_chunk(event(1) + "id: 2\nda");
}

/// Requests one stream from a backend server.
/// @return The body that the caller receives.
std::string streamed_body(
    fake_backend& backend,
    std::string_view headers = {},
    const edge_options& options = {})
{
    edge_fixture fixture(options);
    fixture.dispatch.address = backend.address();
    fixture.claims.given.result = claim_result::status::granted;
    fixture.start();
    return fixture.call(completion(headers, true)).body();
}

/// Cuts the first run after two events; a second run on another connection
/// continues it with `rest`.
/// @return The body that the caller receives.
std::string body_after_cut(std::string_view head, const std::string& rest)
{
    fake_backend backend(
        [&](backend_peer& peer)
        {
            if (peer.number == 0)
            {
                send_first_two(peer, peer.read_request());
                return;
            }
            if (peer.number > 1)
                return; // the cancel after the end of the call
            peer.start_stream(request_after_cancel(peer), head);
            peer.send_chunk(rest);
            peer.send("0\r\n\r\n");
            peer.wait_for_close();
        });
    return streamed_body(backend);
}

} // namespace

Test(resumed_streams, resumed_stream_equals_an_uninterrupted_one)
{
    std::string again;
    fake_backend backend(
        [&](backend_peer& peer)
        {
            if (peer.number == 0)
            {
                send_first_two(peer, peer.read_request());
                return;
            }
            again = request_after_cancel(peer);
            peer.start_stream(again, tag);
            peer.send_chunk(event(2) + "data: [DONE]\n\n");
            peer.send("0\r\n\r\n");
        });
    const std::string body = streamed_body(backend);
    cr_assert(body == whole_stream(), "%s", body.c_str());
    cr_assert(header_of(again, "Last-Event-Id") == "1");
    cr_assert(header_of(again, "If-Match") == "\"g1\"");
    cr_assert(contains(again, R"("prompt":"p")"));
}

Test(resumed_streams, silent_stream_is_continued_on_a_fresh_connection)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.number == 0)
            {
                send_first_two(peer, peer.read_request());
                peer.wait_for_close();
                return;
            }
            peer.start_stream(request_after_cancel(peer), tag);
            peer.send_chunk(event(2) + "data: [DONE]\n\n");
            peer.send("0\r\n\r\n");
        });
    const std::string body = streamed_body(backend, {}, short_timeouts());
    cr_assert(body == whole_stream(), "%s", body.c_str());
    cr_assert_eq(backend.connections(), 2);
}

Test(resumed_streams, parts_of_two_generations_are_never_joined)
{
    const std::string body =
        body_after_cut("ETag: \"g2\"\r\n", event(2) + "data: [DONE]\n\n");
    cr_assert(
        body.starts_with(event(0) + event(1) + "event: error\n"),
        "%s",
        body.c_str());
    cr_assert(!contains(body, "[DONE]"));
}

Test(resumed_streams, missing_and_duplicate_events_are_never_passed_on)
{
    for (const int next : {0, 1, 3})
    {
        const std::string body =
            body_after_cut(tag, event(next) + "data: [DONE]\n\n");
        cr_assert(
            body.starts_with(event(0) + event(1) + "event: error\n"),
            "%s",
            body.c_str());
        cr_assert(!contains(body, "[DONE]"));
    }
}

Test(resumed_streams, unstreamed_answer_does_not_continue_a_stream)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.number == 0)
                send_first_two(peer, peer.read_request());
            else if (peer.number == 1)
                peer.answer(request_after_cancel(peer), R"({"ok":1})");
        });
    const std::string body = streamed_body(backend);
    cr_assert(contains(body, "event: error\n"), "%s", body.c_str());
    cr_assert(!contains(body, R"({"ok":1})"));
}

Test(resumed_streams, claimed_stream_is_not_sent_again)
{
    std::atomic<int> runs{0};
    fake_backend backend(
        [&runs](backend_peer& peer)
        {
            const std::string request = peer.read_request();
            if (!request.starts_with("POST /v1/completions"))
                return;
            ++runs;
            send_first_two(peer, request);
        });
    const std::string body = streamed_body(backend, "Idempotency-Key: k\r\n");
    cr_assert(
        body.starts_with(event(0) + event(1) + "event: error\n"),
        "%s",
        body.c_str());
    cr_assert_eq(runs, 1);
}

Test(
    silent_connections,
    call_is_sent_again_on_a_fresh_connection_to_the_same_server)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.number == 0)
            {
                peer.answer(peer.read_request(), R"({"run":1})");
                const std::string lost = peer.read_request();
                peer.wait_for_close();
                peer.answer(lost, R"({"late":1})");
                return;
            }
            peer.answer(request_after_cancel(peer), R"({"run":2})");
            peer.wait_for_close();
        });
    edge_fixture fixture(short_timeouts());
    fixture.dispatch.address = backend.address();
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(completion());
    cr_assert(caller.read()->body() == R"({"run":1})");
    caller.send(completion());
    cr_assert(caller.read()->body() == R"({"run":2})");
    cr_assert_eq(backend.connections(), 2);
    cr_assert_eq(fixture.dispatch.results().size(), 2, "one attempt a call");
    cr_assert_eq(fixture.observer.silent, 1);
}

Test(silent_connections, refusal_after_the_switch_means_may_have_run)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            if (peer.number == 0)
                peer.answer(peer.read_request(), "{}");
            else if (peer.number == 1)
                peer.answer(
                    request_after_cancel(peer), R"({"error":"not_run"})", 503);
            if (peer.number < 2)
                peer.wait_for_close();
        });
    edge_fixture fixture(short_timeouts());
    fixture.dispatch.address = backend.address();
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(completion());
    cr_assert_eq(caller.read()->result_int(), 200);
    caller.send(completion());
    const auto answer = caller.read();
    cr_assert((*answer)["X-Roseworks-Verdict"] == "may-have-run");
    cr_assert(fixture.dispatch.results().at(1).how == end::no_progress);
}

Test(silent_connections, call_not_repeatable_runs_once)
{
    std::atomic<int> runs{0};
    fake_backend backend(
        [&runs](backend_peer& peer)
        {
            for (auto request = peer.read_request(); !request.empty();
                 request = peer.read_request())
            {
                const bool counts = contains(request, "Idempotency-Key: k");
                runs += counts ? 1 : 0;
                if (!counts)
                    peer.answer(request, "{}");
            }
        });
    edge_fixture fixture(short_timeouts());
    fixture.dispatch.address = backend.address();
    fixture.claims.given.result = claim_result::status::granted;
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(service_call());
    cr_assert_eq(caller.read()->result_int(), 200);
    caller.send(service_call("Idempotency-Key: k\r\n"));
    const auto answer = caller.read();
    cr_assert_eq(answer->result_int(), 504);
    cr_assert((*answer)["X-Roseworks-Verdict"] == "may-have-run");
    cr_assert_eq(runs, 1);
}

Test(caller_leaves, run_is_cancelled_before_its_first_event)
{
    for (const bool head_sent : {false, true})
    {
        std::atomic<bool> arrived{false};
        std::atomic<int> cancels{0};
        fake_backend backend(
            [&](backend_peer& peer)
            {
                const std::string request = peer.read_request();
                if (contains(request, "/v1/engine/cancel"))
                {
                    ++cancels;
                    return;
                }
                if (head_sent)
                    peer.start_stream(request, tag);
                arrived = true;
                peer.wait_for_close();
            });
        edge_fixture fixture;
        fixture.dispatch.address = backend.address();
        fixture.start();
        test_caller caller = fixture.caller();
        caller.send(completion({}, true));
        cr_assert(eventually(
            [&]
            {
                return arrived.load();
            }));
        caller.close();
        cr_assert(eventually(
            [&]
            {
                return cancels == 1;
            }));
        cr_assert(fixture.dispatch.results().at(0).how == end::caller_left);
    }
}
