#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/prepared_call.hpp"
#include "adapters/edge/stream_answer.hpp"

#include <roseworks/dispatcher.hpp>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace roseworks::edge
{

/// How an attempt went.
struct leg_outcome
{
    attempt_result result;
    bool sent = false; ///< a byte of the request was handed to the kernel
    std::optional<whole_answer> answer; ///< when it wasn't streamed
};

/** One attempt at a backend server: sends the request, reads its answer.

    Says `not_sent` only when the connection failed, or no byte of the request
    was taken by the kernel. An answer counts as whole only when its framing
    says so, and an engine's stream only after `[DONE]`; until then nothing of
    an unstreamed answer is passed on. An engine's answer has to echo the
    request's id. A body that only the connection's end ends can't be told
    from a cut one and counts as broken, but for a stream with `[DONE]`.

    A connection that has carried answers and goes silent is given up early
    when the call is repeatable: a fresh one to the same server is opened, the
    engine is told on it to stop the old run, and the request is sent again on
    it, once. What is told of the attempt then counts for both runs. A server
    that is silent on the fresh connection, too, ends the attempt.

    A stream that an earlier attempt has begun is gone on with when the call's
    `position` allows it.

    Memory while streaming: 16 KiB read ahead, one piece of 16 KiB, and
    `stream_buffer_bytes` of an unfinished event; reading goes on only after
    the caller's write has finished. The request's body is freed when a stream
    begins that can't be gone on with elsewhere.
*/
class backend_leg
{
public:
    backend_leg(
        backend_pool& connections,
        prepared_call& request,
        call_inbox& messages,
        stream_answer& answer);
    ~backend_leg();

    backend_leg(const backend_leg&) = delete;
    backend_leg& operator=(const backend_leg&) = delete;

    /// Runs the attempt; once per object.
    asio::awaitable<leg_outcome> run(grant where);

private:
    using header_parser = http::response_parser<http::empty_body>;
    using answer_head = header_parser::value_type::header_type;
    using end = attempt_result::end;

    asio::awaitable<void> exchange();
    asio::awaitable<bool> switch_connection();
    asio::awaitable<void> converse();
    asio::awaitable<bool> open();
    asio::awaitable<bool> open_new();
    asio::awaitable<bool> stop_old_run();
    asio::awaitable<bool> send();
    asio::awaitable<bool> read_header(std::optional<header_parser>& parser);
    asio::awaitable<void> collect(header_parser& header);
    asio::awaitable<void> relay(header_parser& header);
    asio::awaitable<bool>
    pass_on(const std::string& events, const answer_head& head);
    asio::awaitable<bool> begin_stream(const answer_head& head);

    bool may_switch() const;
    bool joins(const answer_head& head);
    void tell_truly();
    bool echo_matches(const http::fields& header);
    void classify();
    void fail(beast::error_code error);
    void end_as(end how);
    void release(bool keep_alive);
    void limit(duration longest);
    void limit_first_byte();
    duration first_byte_left() const;
    duration next_event_limit(const stream_gap_estimator& pace) const;
    duration time_left(duration longest) const;
    void note_first_byte();
    void learn_first_byte();

    backend_pool& pool;
    prepared_call& call;
    call_inbox& inbox;
    stream_answer& out;
    grant target;
    backend_connection_ptr connection;
    instant sent_at;
    duration first_byte_limit{};
    bool first_byte_came = false;
    bool switched = false; ///< sent again on a fresh connection
    leg_outcome outcome;
};

} // namespace roseworks::edge
