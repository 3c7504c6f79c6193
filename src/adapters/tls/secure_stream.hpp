#pragma once

#include "adapters/tls/counted_stream.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace roseworks::tls
{

using context_ptr = std::shared_ptr<boost::asio::ssl::context>;

/// How a handshake with a server ended.
struct handshake_end
{
    bool secured = false;
    bool untrusted = false; ///< the server's certificate was refused
    bool refused = false;   ///< the server refused the client's certificate
    std::string reason;     ///< unless secured
};

/// What a connection that should be idle has received.
enum class idle_state : std::uint8_t
{
    quiet,
    closed,
    has_bytes
};

/** A TCP stream with time limits that may be secured by TLS.

    Plain until a handshake has succeeded. An `AsyncReadStream` and
    `AsyncWriteStream` for Asio and Beast, either way. The limits of
    `expires_after` hold for the socket's operations below TLS, too. Not
    thread-safe: it belongs to its executor.
*/
class secure_stream
{
public:
    using tcp_stream = boost::beast::tcp_stream;
    using executor_type = tcp_stream::executor_type;

    explicit secure_stream(boost::asio::ip::tcp::socket connected)
        : tcp(std::move(connected))
    {
    }

    explicit secure_stream(const boost::asio::any_io_executor& executor)
        : tcp(executor)
    {
    }

    secure_stream(const secure_stream&) = delete;
    secure_stream& operator=(const secure_stream&) = delete;

    /// Does the server's side of a handshake, within `expires_after`.
    /// @param context The certificate; connections keep the one they began
    ///                with.
    /// @return        Whether the stream is secured now.
    boost::asio::awaitable<bool> accept_tls(context_ptr context);

    /// Does the client's side of a handshake, within `expires_after`.
    /// @param context Trusted certificates, and its own where there is one.
    /// @param server  The IP number that the server's certificate has to name.
    /// @return        How it ended; unless secured, the stream is of no use.
    boost::asio::awaitable<handshake_end>
    connect_tls(context_ptr context, boost::asio::ip::address server);

    /// Tells the peer that nothing more is sent, within `expires_after`.
    boost::asio::awaitable<void> finish_tls();

    bool secured() const
    {
        return this->layer.has_value();
    }

    /** Look whether the peer of a secured stream is closing it.

        Looks at the next record without reading it: an alert, or the end. In
        TLS 1.3 an alert can't be told from two bytes of data in a record of
        their own; such data counts as closing.

        @return Whether it is closing. False while other data waits.
    */
    bool peer_closing();

    /// Looks at what an idle connection has received, without reading it.
    idle_state look();

    /** Count the bytes that a secured stream has handed to its socket.

        A secured write that fails reports 0 bytes whatever has left: where it
        matters, compare this before and after.

        @return The count; 0 while the stream is plain. */
    std::uint64_t secured_bytes() const
    {
        return this->layer ? this->tcp.written() : 0;
    }

    executor_type get_executor() noexcept
    {
        return this->tcp.get_executor();
    }

    boost::asio::ip::tcp::socket& socket()
    {
        return this->tcp.socket();
    }

    void expires_after(std::chrono::steady_clock::duration limit)
    {
        this->tcp.expires_after(limit);
    }

    void expires_never()
    {
        this->tcp.expires_never();
    }

    void cancel()
    {
        this->tcp.cancel();
    }

    void close()
    {
        this->tcp.close();
    }

    template <class Token>
    auto
    async_connect(const boost::asio::ip::tcp::endpoint& server, Token&& token)
    {
        return this->tcp.async_connect(server, std::forward<Token>(token));
    }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        if (this->layer)
            return this->layer->async_read_some(
                buffers, std::forward<Token>(token));
        return this->tcp.async_read_some(buffers, std::forward<Token>(token));
    }

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        if (this->layer)
            return this->layer->async_write_some(
                buffers, std::forward<Token>(token));
        return this->tcp.uncounted::async_write_some(
            buffers, std::forward<Token>(token));
    }

    /// Reads below TLS: for what the peer still sends after the end.
    template <class Buffers, class Token>
    auto async_read_raw(const Buffers& buffers, Token&& token)
    {
        return this->tcp.async_read_some(buffers, std::forward<Token>(token));
    }

private:
    counted_stream tcp;
    std::optional<boost::beast::ssl_stream<counted_stream&>> layer;
};

} // namespace roseworks::tls
