#pragma once

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/caller_body.hpp"
#include "adapters/edge/edge_options.hpp"
#include "adapters/edge/net.hpp"
#include "adapters/tls/secure_stream.hpp"
#include "core/admission/receive_budget.hpp"
#include "ports/clock.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace roseworks::edge
{

using caller_parser = http::request_parser<caller_body>;
using buffered_response = http::response<http::string_body>;

/// The result of a read from the caller.
struct caller_read
{
    enum class status : std::uint8_t
    {
        done,
        closed,  ///< nothing more can be read or written
        rejected ///< respond with the problem, then close
    };

    status result = status::done;
    call_problem problem;
};

/** The connection of one caller: reads requests and writes responses.

    Between two requests it buffers read-ahead bytes, at most the size limit of
    a request head.
*/
class caller_connection
{
public:
    /// @param memory What the connection holds counts against it. Must outlive
    ///               the connection.
    caller_connection(
        tcp::socket accepted,
        const edge_options& limits,
        receive_budget& memory,
        const clock_port& time);

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Does the TLS handshake. Call it before the first read.
    /// @return Whether the connection can be used.
    asio::awaitable<bool> secure(tls::context_ptr certificate);

    /// Reads and checks the head of a request.
    /// @param parser Receives the head; must not have the eager option set.
    /// @param idle   Time limit for the first byte of the request.
    asio::awaitable<caller_read>
    read_head(caller_parser& parser, std::chrono::milliseconds idle);

    /// Reads the rest of a request whose head was accepted. What is buffered
    /// beside the body stays within the size limit of a request head.
    asio::awaitable<caller_read> read_body(caller_parser& parser);

    /// @return Whether the kernel has accepted the whole response.
    asio::awaitable<bool> write(buffered_response& answer);

    /// Writes the header only, in response to a HEAD request.
    asio::awaitable<bool> write_head_only(const buffered_response& answer);

    /// Starts the time limit of one write.
    void expire_write()
    {
        this->stream.expires_after(this->options.write_timeout);
    }

    /// Writes bytes without any framing.
    asio::awaitable<bool> write_raw(std::string_view bytes);

    /// Begins a response that the end of the connection ends. Until
    /// `end_unframed`, the connection ends with a reset, also if the process
    /// ends, so that a part never looks complete.
    void begin_unframed();

    /// States that the whole unframed response was written.
    void end_unframed();

    /// Closes the connection after reading and discarding what the caller still
    /// sends, up to a time limit. Closing with unread data would reset the
    /// connection, and the caller could lose the last response.
    asio::awaitable<void> linger_close();

    /// @return Whether the caller has closed its side. False while unread
    ///         pipelined bytes precede the close.
    bool peer_closed();

    /// @return Whether the connection is waiting for a request.
    bool idle() const
    {
        return this->between_requests;
    }

    /// Ends the wait for a request unless bytes of one have arrived.
    /// @return Whether it does.
    bool stop_waiting();

    tls::secure_stream stream;

private:
    asio::awaitable<caller_read>
    wait_for_request(std::chrono::milliseconds idle);
    asio::awaitable<caller_read> read_whole_head();
    asio::awaitable<bool> read_some(std::size_t max_bytes);
    asio::awaitable<caller_read> read_body_piece(caller_parser& parser);
    /// The whole request was read.
    void finish_request(const caller_parser& parser);
    /// Parses what was read of a body. Chunk headers and trailers may be as
    /// large as a request head.
    caller_read parse_body(caller_parser& parser);
    /// Gives the body the capacity for what was read.
    /// @return Whether there is memory for it.
    bool make_room(caller_parser& parser);
    /// Sets how much memory the connection occupies.
    /// @return Whether there is as much.
    bool hold(std::size_t body_capacity);
    /// Drops what was read: no further request follows.
    void release();
    /// The connection's request or the connection goes in favour of others.
    /// @return Whether it does.
    bool displace();
    caller_read over_limit(receive_limit limit);
    caller_read to_read_result(beast::error_code error);

    const edge_options& options;
    const clock_port& clock;
    beast::flat_buffer buffer;
    std::size_t head_bytes = 0;
    caller_parser* receiving = nullptr; ///< the body that is being read
    bool is_displaced = false;
    bool is_closing = false; ///< in `linger_close`
    bool between_requests = true;
    bool is_unframed = false; ///< an unframed response has begun
    receive_budget::entry share;
};

} // namespace roseworks::edge
