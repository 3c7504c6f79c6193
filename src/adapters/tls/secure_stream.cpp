#include "adapters/tls/secure_stream.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace roseworks::tls
{

namespace asio = boost::asio;

namespace
{

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

// RFC 8446, section 5: type, version, length.
constexpr std::size_t record_header_bytes = 5;
constexpr unsigned char record_alert = 21;
constexpr unsigned char record_data = 23;
/// An alert of TLS 1.3: two bytes, the inner type, and the tag.
constexpr unsigned sealed_alert_bytes = 2 + 1 + 16;

} // namespace

asio::awaitable<bool> secure_stream::accept_tls(context_ptr context)
{
    this->layer.emplace(this->tcp, *context);
    const auto [error] = co_await this->layer->async_handshake(
        asio::ssl::stream_base::server, quietly);
    co_return !error;
}

asio::awaitable<void> secure_stream::finish_tls()
{
    if (this->layer)
        co_await this->layer->async_shutdown(quietly);
}

bool secure_stream::peer_closing()
{
    std::array<unsigned char, record_header_bytes> header{};
    const auto count = ::recv(
        this->tcp.socket().native_handle(),
        header.data(),
        header.size(),
        MSG_PEEK | MSG_DONTWAIT);
    if (count == 0)
        return true;
    if (count < 0)
        return errno != EAGAIN && errno != EINTR;
    if (static_cast<std::size_t>(count) < header.size())
        return false;
    constexpr unsigned byte_values = 256;
    const unsigned length = header[3] * byte_values + header[4];
    return header[0] == record_alert ||
           (header[0] == record_data && length == sealed_alert_bytes);
}

} // namespace roseworks::tls
