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
enum class exchange_end : std::uint8_t
{
    answered, ///< a whole answer came
    not_sent, ///< no byte of the request left
    withheld, ///< `http_call::may_send` said no
    no_answer ///< bytes left, and no whole answer came
};

struct http_answer
{
    exchange_end end = exchange_end::not_sent;
    unsigned status = 0;      ///< when answered
    std::string body;         ///< when answered
    std::string etag;         ///< when answered; empty: the server names none
    std::size_t received = 0; ///< bytes, of one that isn't whole, too

    /// @return Whether a whole answer of this status came.
    bool is(unsigned expected) const
    {
        return this->end == exchange_end::answered && this->status == expected;
    }
};

/// A header field of a call beside those that have a member of their own.
struct http_header
{
    std::string name; ///< empty: none
    std::string value;
};

struct http_call
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::string content_type;
    std::string authorization; ///< empty: none
    std::string if_none_match; ///< empty: the whole answer is wanted
    http_header header;
    /// Of the whole call; where `longest` is longer, without a byte of the
    /// answer.
    std::chrono::milliseconds timeout{};
    /// Of the whole answer as long as its bytes come.
    std::chrono::milliseconds longest{};
    /// Asked immediately before the first byte is written; empty: always.
    std::function<bool()> may_send;
};

/** Calls one HTTP/1.1 server and reuses its connections.

    A connection that was idle for long, or on which the server has sent or
    closed something meanwhile, isn't used again; one that gave no answer in
    time is closed. Nothing is ever sent twice. Not thread-safe: all calls on
    the executor's single thread. Copies share the connections, and calls may
   outlive the client.
*/
class http_client
{
public:
    struct options
    {
        std::chrono::milliseconds connect_timeout{1000};
        std::chrono::milliseconds idle_limit{10'000};
        std::size_t max_idle = 2;
        std::size_t max_answer_bytes = std::size_t(32) << 20;
        const tls::connector* secured_by = nullptr; ///< null: plain HTTP
    };

    http_client(
        boost::asio::any_io_executor executor,
        boost::asio::ip::tcp::endpoint server,
        const options& settings,
        byte_meter& meter);

    /// Sends a call once.
    boost::asio::awaitable<http_answer> send(http_call call);

    /// Breaks all connections: running calls end as they then stand.
    void break_connections();

private:
    class pool;
    std::shared_ptr<pool> connections;
};

} // namespace roseworks::platform
