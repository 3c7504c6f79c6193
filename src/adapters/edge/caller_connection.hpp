#pragma once

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/edge_options.hpp"
#include "adapters/edge/net.hpp"
#include "adapters/tls/secure_stream.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace roseworks::edge
{

using caller_parser = http::request_parser<http::string_body>;
using whole_answer = http::response<http::string_body>;

/// What a read from the caller led to.
struct caller_read
{
    enum class status : std::uint8_t
    {
        done,
        closed,   ///< nothing more can be read or answered
        malformed ///< answer with the problem, then close
    };

    status result = status::done;
    call_problem problem;
};

/** One caller's connection: reads requests, writes whole answers.

    Holds bytes read ahead, at most a head's limit between two requests.
*/
class caller_connection
{
public:
    caller_connection(tcp::socket accepted, const edge_options& limits);

    /// Secures the connection, before anything is read.
    /// @return Whether it may be used.
    asio::awaitable<bool> secure(tls::context_ptr certificate);

    /// Reads and checks a request's head.
    /// @param parser takes the head; without eager reading.
    /// @param idle   how long to wait for the request's first byte.
    asio::awaitable<caller_read>
    read_head(caller_parser& parser, std::chrono::milliseconds idle);

    /// Reads the rest of the request, after its head was accepted.
    asio::awaitable<caller_read> read_body(caller_parser& parser);

    /// @return Whether the whole answer was handed to the kernel.
    asio::awaitable<bool> write(whole_answer& answer);

    /// Answers a HEAD request: the header alone.
    asio::awaitable<bool> write_head_only(const whole_answer& answer);

    /// Starts the time limit of one write.
    void expire_write()
    {
        this->stream.expires_after(this->options.write_timeout);
    }

    /// Writes bytes as they are.
    asio::awaitable<bool> write_raw(std::string_view bytes);

    /// Ends the connection so that the last answer isn't lost to a reset:
    /// reads away for a short time what the caller still sends.
    asio::awaitable<void> linger_close();

    /// @return Whether the caller has closed its side. False while pipelined
    ///         bytes hide that.
    bool peer_closed();

    /// @return Whether no request has begun.
    bool idle() const
    {
        return this->between_requests;
    }

    /// Ends the wait for a request unless one has begun to come in.
    void stop_waiting();

    tls::secure_stream stream;

private:
    asio::awaitable<caller_read>
    wait_for_request(std::chrono::milliseconds idle);
    asio::awaitable<caller_read> read_whole_head();
    asio::awaitable<bool> read_some();

    const edge_options& options;
    beast::flat_buffer buffer;
    bool between_requests = true;
};

} // namespace roseworks::edge
