#include "edge_fixture.hpp"

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
using namespace roseworks::edge::tests;

namespace
{

using end = attempt_result::end;

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(streams, events_are_passed_through_whole)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            const std::string request = peer.read_request();
            peer.start_stream(request);
            peer.send_chunk("data: one\n\nda");
            peer.send_chunk("ta: two\r\n\r\n");
            peer.send_chunk("data: [DONE]\n\n");
            peer.send("0\r\n\r\n");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(completion({}, true));
    cr_assert_eq(answer.result_int(), 200);
    cr_assert(
        answer.body() == "data: one\n\ndata: two\r\n\r\ndata: [DONE]\n\n");
    cr_assert(eventually(
        [&]
        {
            return !fixture.dispatch.results().empty();
        }));
    const auto results = fixture.dispatch.results();
    cr_assert(results.at(0).how == end::answered);
    cr_assert(results.at(0).answer_started);
    cr_assert_eq(results.at(0).tokens, 2);
    cr_assert(eventually(
        [&]
        {
            return fixture.observer.streams == 0;
        }));
}

Test(streams, cut_stream_ends_with_an_error_event)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.start_stream(peer.read_request());
            peer.send_chunk("data: one\n\ndata: ha");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(completion({}, true));
    cr_assert(answer.body().starts_with("data: one\n\nevent: error\ndata: {"));
    cr_assert(contains(answer.body(), R"("verdict":"may-have-run")"));
    cr_assert(!contains(answer.body(), "[DONE]"));
    cr_assert(fixture.dispatch.results().at(0).how == end::broken);
}

Test(streams, stream_of_a_service_that_ends_inside_an_event_is_cut)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.start_stream(peer.read_request());
            peer.send_chunk("data: one\n\ndata: ha");
            peer.send("0\r\n\r\n");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(service_call());
    cr_assert(
        answer.body().starts_with("data: one\n\nevent: error\ndata: {"),
        "%s",
        answer.body().c_str());
    cr_assert(!contains(answer.body(), "data: ha"));
    cr_assert(fixture.dispatch.results().at(0).how == end::broken);
}

Test(streams, done_without_the_end_of_the_body_is_cut)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.start_stream(peer.read_request());
            peer.send_chunk("data: one\n\ndata: [DONE]\n\n");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(completion({}, true));
    cr_assert(contains(answer.body(), "event: error"));
    cr_assert(!contains(answer.body(), "[DONE]"));
}

Test(streams, stream_that_breaks_before_an_event_is_retried)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.start_stream(peer.read_request());
            if (peer.number == 0)
                return;
            peer.send_chunk("data: one\n\ndata: [DONE]\n\n");
            peer.send("0\r\n\r\n");
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(completion({}, true));
    cr_assert(answer.body() == "data: one\n\ndata: [DONE]\n\n");
    cr_assert_eq(backend.connections(), 2);
}

Test(streams, oversized_event_cuts_the_stream)
{
    fake_backend backend(
        [](backend_peer& peer)
        {
            peer.start_stream(peer.read_request());
            peer.send_chunk("data: one\n\n");
            peer.send_chunk("data: " + std::string(5000, 'x'));
            peer.wait_for_close();
        });
    edge_options options;
    options.stream_buffer_bytes = 1000;
    edge_fixture fixture(options);
    fixture.dispatch.address = backend.address();
    fixture.start();
    const auto answer = fixture.call(completion({}, true));
    cr_assert(answer.body().starts_with("data: one\n\nevent: error\n"));
}

Test(streams, caller_leaving_cancels_the_stream)
{
    std::atomic<int> cancels{0};
    fake_backend backend(
        [&cancels](backend_peer& peer)
        {
            const std::string request = peer.read_request();
            if (contains(request, "/v1/engine/cancel"))
            {
                ++cancels;
                return;
            }
            peer.start_stream(request);
            peer.send_chunk("data: one\n\n");
            peer.wait_for_close();
        });
    edge_fixture fixture;
    fixture.dispatch.address = backend.address();
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(completion({}, true));
    cr_assert(contains(caller.read_until("data: one\n\n"), "data: one"));
    caller.close();
    cr_assert(eventually(
        [&]
        {
            return !fixture.dispatch.results().empty();
        }));
    cr_assert(fixture.dispatch.results().at(0).how == end::caller_left);
    cr_assert(eventually(
        [&]
        {
            return cancels == 1;
        }));
}

Test(streams, caller_leaving_while_it_waits_abandons_the_request)
{
    edge_fixture fixture;
    fixture.dispatch.grants_enabled = false;
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(completion());
    cr_assert(eventually(
        [&]
        {
            return fixture.dispatch.submitted == 1;
        }));
    caller.close();
    cr_assert(eventually(
        [&]
        {
            return fixture.dispatch.abandoned == 1;
        }));
}

Test(streams, claimed_call_continues_after_its_caller_has_left)
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
    fixture.claims.given.result = claim_result::status::granted;
    fixture.start();
    test_caller caller = fixture.caller();
    caller.send(service_call("Idempotency-Key: k\r\n"));
    cr_assert(eventually(
        [&]
        {
            return arrived.load();
        }));
    caller.close();
    go_on = true;
    cr_assert(eventually(
        [&]
        {
            return !fixture.claims.closed().empty();
        }));
    cr_assert(fixture.claims.closed().at(0).outcome == claim_outcome::answered);
}
