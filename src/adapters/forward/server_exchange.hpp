#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/call_inbox.hpp"
#include "adapters/edge/net.hpp"
#include "adapters/forward/forward_context.hpp"
#include "adapters/forward/relay_head.hpp"

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

/// How far an exchange with a backend server came.
enum class exchange_state : std::uint8_t
{
    good,       ///< so far
    not_sent,   ///< no byte left
    broken,     ///< the connection broke, or bytes came that are no answer
    timed_out,  ///< the time limit passed
    interrupted ///< the caller left, or the call has to end
};

/** One request to one backend server and its answer, piece by piece.

    The time limit holds for all steps together. Closing the connection is what
    tells the server to stop: an exchange that is destroyed before its answer
    was read whole closes it.
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

    /// Takes a kept connection or opens one, and sends the request.
    /// @param longest_idle a kept connection may have been idle.
    /// @param until        the exchange's time limit.
    asio::awaitable<exchange_state> send(
        std::string address,
        std::string_view bytes,
        duration longest_idle,
        instant until);

    /// Reads the head of the answer to this request. Answers to others are
    /// read away.
    /// @param id        of the request, which the answer echoes.
    /// @param head_only the answer has no body.
    asio::awaitable<exchange_state>
    read_head(const header_dialect& names, std::string_view id, bool head_only);

    /// Reads some of the body. Empty text with `good`: the body has ended.
    asio::awaitable<exchange_state> read_some(std::string_view& piece);

    const answer_head& head() const
    {
        return this->parser->get().base();
    }

    /// @return Whether only the connection's end ends the body.
    bool unframed() const
    {
        return this->until_closed;
    }

    bool ended() const
    {
        return this->parser && this->parser->is_done();
    }

    /// @return Whether a byte was handed to the kernel.
    bool sent() const
    {
        return this->was_sent;
    }

    /// The answer was read whole: the connection may carry another.
    void release();

private:
    using answer_parser = http::response_parser<http::buffer_body>;

    asio::awaitable<exchange_state> open(duration longest_idle);
    asio::awaitable<exchange_state> read_one_head(bool head_only);
    asio::awaitable<exchange_state> write(std::string_view bytes);
    exchange_state failed(beast::error_code error) const;
    void limit();

    forward_context& context;
    edge::backend_pool& pool;
    edge::call_inbox& inbox;
    std::string where;
    instant deadline;
    edge::backend_connection_ptr connection;
    std::optional<answer_parser> parser;
    std::array<char, std::size_t(16) << 10> buffer;
    bool was_sent = false;
    bool until_closed = false;
    bool crossed = false; ///< an answer to another request came first
};

} // namespace roseworks::forward
