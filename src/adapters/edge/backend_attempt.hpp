#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/prepared_call.hpp"
#include "adapters/edge/stream_response.hpp"

#include <roseworks/dispatcher.hpp>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace roseworks::edge
{

/// The outcome of one attempt.
struct attempt_outcome
{
    attempt_result result;
    bool sent = false; ///< the kernel has accepted a byte of the request
    std::optional<buffered_response> answer; ///< unless it was streamed
};

/** One attempt to send a request to a backend server and read its response.

    The result is `not_sent` only if the connection failed or the kernel
    accepted no byte of the request. A response counts as complete only if its
    framing says so, and a stream of an engine only after `[DONE]`. A response
    that is not streamed reaches the caller only once it is complete. The
    response of an engine must echo the request id. A body that is delimited
    only by the end of the connection could be truncated, so it counts as
    broken, except for a stream with `[DONE]`.

    If a pooled connection is silent and the call is repeatable, the attempt
    times out early and switches once: it opens a fresh connection to the same
    server, cancels the old run on it and sends the request again on it. The
    result then covers both runs. If the fresh connection is silent too, the
    attempt ends.

    The attempt continues a stream that an earlier attempt began if the call's
    `position` allows it.

    Memory while streaming: 16 KiB of read-ahead, a read buffer of 16 KiB, and
    up to `stream_buffer_bytes` of an incomplete event. The next read starts
    only after the write to the caller has finished. The request body is freed
    when a stream begins that no other attempt can continue.
*/
class backend_attempt
{
public:
    backend_attempt(
        backend_pool& connections,
        prepared_call& request,
        call_inbox& messages,
        stream_response& answer);
    ~backend_attempt();

    backend_attempt(const backend_attempt&) = delete;
    backend_attempt& operator=(const backend_attempt&) = delete;

    /// Runs the attempt. Call it once per object.
    asio::awaitable<attempt_outcome> run(grant where);

private:
    using header_parser = http::response_parser<http::empty_body>;
    using response_header = header_parser::value_type::header_type;
    using end = attempt_result::end;

    asio::awaitable<void> exchange();
    asio::awaitable<bool> switch_connection();
    asio::awaitable<void> send_and_receive();
    asio::awaitable<bool> open();
    asio::awaitable<bool> open_new();
    asio::awaitable<bool> cancel_earlier_run();
    asio::awaitable<bool> send();
    asio::awaitable<bool> read_header(std::optional<header_parser>& parser);
    asio::awaitable<void> read_buffered(header_parser& header);
    asio::awaitable<void> relay_stream(header_parser& header);
    asio::awaitable<bool>
    write_events(const std::string& events, const response_header& head);
    asio::awaitable<bool> begin_stream(const response_header& head);

    bool may_switch_connection() const;
    bool continues_stream(const response_header& head);
    void account_for_both_runs();
    bool has_matching_request_id(const http::fields& header);
    void classify_response();
    void record_error(beast::error_code error);
    void set_end(end how);
    void release(bool keep_alive);
    void start_timer(duration longest);
    void start_first_byte_timer();
    duration remaining_first_byte_time() const;
    duration next_event_limit(const stream_gap_estimator& gaps) const;
    duration limit_to_deadline(duration longest) const;
    void record_first_byte_time();
    void update_first_byte_estimate();

    backend_pool& pool;
    prepared_call& call;
    call_inbox& inbox;
    stream_response& response;
    grant target;
    backend_connection_ptr connection;
    instant sent_at;
    duration first_byte_limit{};
    bool first_byte_arrived = false;
    bool switched = false; ///< sent again on a fresh connection
    attempt_outcome outcome;
};

} // namespace roseworks::edge
