#pragma once

#include "adapters/platform/byte_meter.hpp"
#include "adapters/platform/endpoint.hpp"
#include "adapters/tls/connector.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::platform
{

/// How one HTTP exchange ended.
enum class exchange_outcome : std::uint8_t
{
    answered, ///< a complete response was received
    not_sent, ///< no byte of the request was sent
    withheld, ///< not sent, because `http_call::may_send` returned false
    no_answer ///< sent at least in part, without a complete response
};

struct http_answer
{
    exchange_outcome outcome = exchange_outcome::not_sent;
    unsigned status = 0;      ///< valid if `answered`
    std::string body;         ///< valid if `answered`
    std::string etag;         ///< valid if `answered`; empty: no such header
    std::size_t received = 0; ///< bytes, also of an incomplete response
    std::size_t reads = 0;    ///< of the socket

    /// @return Whether a complete response with this status was received.
    bool is(unsigned expected) const
    {
        return this->outcome == exchange_outcome::answered &&
               this->status == expected;
    }
};

/// An additional header field of a request.
struct http_header
{
    std::string name; ///< empty: no header field
    std::string value;
};

struct http_call
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::string content_type;
    std::string authorization; ///< empty: no such header
    std::string if_none_match; ///< empty: no such header
    http_header header;
    /// Time limit of the whole exchange on an open connection. If
    /// `total_timeout` is longer, this limits only the time without a byte of
    /// the response.
    std::chrono::milliseconds timeout{};
    /// Time limit of the whole response while its bytes keep arriving.
    std::chrono::milliseconds total_timeout{};
    /// Called immediately before the first byte is written. The request isn't
    /// sent if it returns false. Empty: always sent.
    std::function<bool()> may_send;
};

/** HTTP/1.1 client of one server with a pool of persistent connections.

    A connection isn't reused if it was idle for too long, or if the server has
    closed it or sent data while it was idle. A connection without a response
    in time is closed. A request is never sent twice. Not thread-safe: all calls
    have to run on the executor's single thread. Copies share the connections,
    and calls may outlive the client.
*/
class http_client
{
public:
    struct options
    {
        std::chrono::milliseconds connect_timeout{1000};
        std::chrono::milliseconds max_idle_time{10'000};
        std::size_t max_idle = 2;
        /// Connections end with a reset. Else the kernel goes on to deliver a
        /// request that got no answer, after a partition even seconds later.
        bool resets_connections = false;
        std::size_t max_answer_bytes = std::size_t(32) << 20;
        const tls::connector* tls_connector = nullptr; ///< null: plain HTTP
    };

    http_client(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint server,
        const options& settings,
        byte_meter& meter);

    /// Sends a request once and reads its response.
    boost::asio::awaitable<http_answer> send(http_call call);

    /// Closes all connections. Running calls end with the outcome of their
    /// current state.
    void break_connections();

private:
    class pool;
    std::shared_ptr<pool> connections;
};

} // namespace roseworks::platform
