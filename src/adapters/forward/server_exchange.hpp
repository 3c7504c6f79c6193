#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/net.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/forward_request.hpp"
#include "adapters/forward/response_head.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Outcome of a step of an exchange with a backend server.
enum class exchange_state : std::uint8_t
{
    ok,         ///< succeeded so far
    not_sent,   ///< no byte was sent
    broken,     ///< the connection broke, or the response was invalid
    timed_out,  ///< the deadline passed
    interrupted ///< the caller left, or the process shuts down
};

/// How a response states where its body ends.
enum class body_framing : std::uint8_t
{
    none,       ///< no response, or no body
    length,     ///< `Content-Length`
    chunked,    ///< chunks and a last chunk
    connection, ///< the end of the connection
};

/// @return The name that log lines use.
std::string_view to_string(body_framing framing);

/// The server that a request is sent to.
struct exchange_target
{
    server_place place;
    std::string instance; ///< id of the server
};

/** Sends one request to one backend server and reads the response in parts.

    One deadline applies to all steps together. A closed connection tells the
    server to stop: an exchange that is destroyed before its response was
    completely read closes the connection.
*/
class server_exchange
{
public:
    server_exchange(
        forward_context& shared,
        edge::backend_pool& connections,
        edge::call_inbox& messages);
    ~server_exchange();

    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    /// Sends the request on a pooled connection or on a new one. Sends nothing
    /// if the server takes no requests any more once a connection is open.
    /// @param request      Must exist until the end.
    /// @param longest_idle Longest time that a pooled connection may have been
    ///                     idle.
    /// @param until        Deadline of the exchange.
    asio::awaitable<exchange_state> send(
        exchange_target server,
        const outgoing_request& request,
        duration longest_idle,
        instant until);

    /// Reads the head of the response to this request. Skips interim responses
    /// and responses to other requests.
    /// @param id        Request ID, which the response echoes.
    /// @param head_only Whether the response has no body.
    asio::awaitable<exchange_state>
    read_head(const header_names& names, std::string_view id, bool head_only);

    /// Sets how many bytes the body of the response may have. More break the
    /// exchange.
    void limit_body(std::size_t max_bytes)
    {
        this->max_body_bytes = max_bytes;
    }

    /// Reads a part of the body. An empty part with `ok` means that the body
    /// has ended.
    asio::awaitable<exchange_state> read_some(std::string_view& piece);

    /// Reads until the first complete event of a stream or its end. What was
    /// read is returned by the next `read_some`.
    /// @param max_bytes Reading stops after this many bytes without an event.
    asio::awaitable<exchange_state> read_ahead_of_event(std::size_t max_bytes);

    const response_head& head() const
    {
        return this->parser->get().base();
    }

    /// @return How the response to this request is framed.
    body_framing framing() const
    {
        return this->framing_of_body;
    }

    /// @return Name of the router through which the request was sent; empty:
    ///         directly.
    std::string_view relay() const
    {
        return this->connection ? std::string_view(this->connection->relay)
                                : std::string_view();
    }

    bool is_complete() const
    {
        return this->parser && this->parser->is_done();
    }

    /// @return Whether a byte of the request was handed to the kernel.
    bool sent() const
    {
        return this->any_byte_sent;
    }

    /// @return Whether nothing was sent because the server takes no requests.
    bool withheld() const
    {
        return this->is_withheld;
    }

    /// @return Whether a byte of the request may have been handed to the kernel
    ///         while `send` is still running.
    bool write_has_begun() const
    {
        return this->write_begun;
    }

    /// Returns the connection to the pool if the response was completely read
    /// and the connection can be reused.
    void return_to_pool();

private:
    using buffered_parser = http::response_parser<http::buffer_body>;

    asio::awaitable<exchange_state> open(duration longest_idle);
    asio::awaitable<exchange_state> read_one_head(bool head_only);
    asio::awaitable<exchange_state> write(const outgoing_request& request);
    /// @return Whether the body may be complete, as far as its framing tells.
    exchange_state end_of_body();
    /// @return Whether the server's machine has received the whole request.
    bool is_request_received();
    exchange_state failure_state(beast::error_code error) const;
    void apply_deadline();

    forward_context& context;
    edge::backend_pool& pool;
    edge::call_inbox& inbox;
    exchange_target target;
    instant deadline;
    edge::backend_connection_ptr connection;
    std::optional<buffered_parser> parser;
    std::array<char, std::size_t(16) << 10> buffer;
    std::string read_ahead; ///< not yet returned by `read_some`
    std::string returned;   ///< holds the piece last returned from it
    bool any_byte_sent = false;
    bool is_withheld = false;
    bool write_begun = false;
    std::size_t max_body_bytes = 0;
    std::size_t body_bytes = 0; ///< read of the present response
    body_framing framing_of_body = body_framing::none;
    bool response_skipped = false; ///< a response to another request came first
};

} // namespace roseworks::forward
