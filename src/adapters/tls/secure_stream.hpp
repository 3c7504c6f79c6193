#pragma once

#include "adapters/tls/byte_counting_stream.hpp"

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

/// The result of a handshake with a server.
struct handshake_result
{
    bool secured = false;
    /// The client rejected the server's certificate.
    bool server_untrusted = false;
    /// The server rejected the client's certificate.
    bool client_refused = false;
    std::string reason; ///< why it failed; empty if secured
};

/// The state of a connection on which no data is expected.
enum class idle_state : std::uint8_t
{
    no_data, ///< open, nothing received
    closed,  ///< closed by the peer, or failed
    has_data ///< unexpected data was received
};

/** A TCP stream with time limits that can be secured with TLS.

    The stream is plain until a handshake begins. It is an `AsyncReadStream` and
    an `AsyncWriteStream` for Asio and Beast both plain and secured. The limits
    of `expires_after` also apply to the socket operations below TLS. Not
    thread-safe: use it only on its executor.
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

    /// Performs the server's side of a handshake, within `expires_after`.
    /// @param context The TLS context with the server's certificate; the stream
    ///                keeps using it.
    /// @return        Whether the handshake succeeded.
    boost::asio::awaitable<bool> accept_tls(context_ptr context);

    /// Performs the client's side of a handshake, within `expires_after`.
    /// @param context The TLS context with the trusted certificates and, if
    ///                there is one, the client's certificate.
    /// @param server  The IP address that the server's certificate must
    ///                contain.
    /// @return        The result; after a failure the stream must not be used.
    boost::asio::awaitable<handshake_result>
    connect_tls(context_ptr context, boost::asio::ip::address server);

    /// Shuts TLS down in both directions, within `expires_after`. Does nothing
    /// on a plain stream.
    boost::asio::awaitable<void> shutdown_tls();

    bool secured() const
    {
        return this->tls_layer.has_value();
    }

    /** Checks whether the peer of a secured stream is closing it.

        Peeks at the next TLS record: an alert or the end of the stream means
        that the peer is closing. In TLS 1.3 an encrypted alert cannot be
        distinguished from a record with two bytes of data; such a record counts
        as closing.

        @return Whether the peer is closing. False while other data is pending.
    */
    bool peer_closing();

    /// Checks the state of an idle connection without consuming any data.
    idle_state check_idle();

    /** Counts the bytes that a secured stream has written to its socket.

        A secured write that fails reports 0 bytes even if some were sent. To
        find out, compare this count before and after the write.

        @return The count; 0 while the stream is plain. */
    std::uint64_t secured_bytes() const
    {
        return this->tls_layer ? this->tcp.written() : 0;
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
        if (this->tls_layer)
            return this->tls_layer->async_read_some(
                buffers, std::forward<Token>(token));
        return this->tcp.async_read_some(buffers, std::forward<Token>(token));
    }

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        if (this->tls_layer)
            return this->tls_layer->async_write_some(
                buffers, std::forward<Token>(token));
        return this->tcp.base_stream::async_write_some(
            buffers, std::forward<Token>(token));
    }

    /// Reads from the socket without decrypting, to drain what the peer still
    /// sends after the TLS shutdown.
    template <class Buffers, class Token>
    auto async_read_raw(const Buffers& buffers, Token&& token)
    {
        return this->tcp.async_read_some(buffers, std::forward<Token>(token));
    }

private:
    byte_counting_stream tcp;
    std::optional<boost::beast::ssl_stream<byte_counting_stream&>> tls_layer;
};

} // namespace roseworks::tls
