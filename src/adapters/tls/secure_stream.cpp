#include "adapters/tls/secure_stream.hpp"

#include <boost/asio/ssl/error.hpp>
#include <boost/system/error_code.hpp>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/sslerr.h>
#include <openssl/x509_vfy.h>

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace roseworks::tls
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_error_tuple = asio::as_tuple(asio::use_awaitable);

// The TLS record layer, RFC 8446, section 5. A record header holds the content
// type (1 byte), the version (2) and the payload length (2).
constexpr std::size_t record_header_bytes = 5;
constexpr unsigned char alert_record = 21;
constexpr unsigned char data_record = 23;
/// The payload of an encrypted TLS 1.3 alert: the alert (2 bytes), the inner
/// content type (1) and the authentication tag (16).
constexpr unsigned encrypted_alert_bytes = 2 + 1 + 16;

/// @return Whether the error is an alert by which the peer rejects this side's
///         certificate.
bool is_certificate_alert(const boost::system::error_code& error)
{
    if (error.category() != asio::error::get_ssl_category())
        return false;
    switch (ERR_GET_REASON(static_cast<unsigned long>(error.value())))
    {
    case SSL_R_TLSV13_ALERT_CERTIFICATE_REQUIRED:
    case SSL_R_SSLV3_ALERT_NO_CERTIFICATE:
    case SSL_R_SSLV3_ALERT_BAD_CERTIFICATE:
    case SSL_R_SSLV3_ALERT_UNSUPPORTED_CERTIFICATE:
    case SSL_R_SSLV3_ALERT_CERTIFICATE_REVOKED:
    case SSL_R_SSLV3_ALERT_CERTIFICATE_EXPIRED:
    case SSL_R_SSLV3_ALERT_CERTIFICATE_UNKNOWN:
    case SSL_R_TLSV1_ALERT_UNKNOWN_CA:
        return true;
    default:
        return false;
    }
}

/// Sets the IP address that the server's certificate must contain.
/// @return Whether OpenSSL accepted the address.
bool set_expected_address(SSL* handle, const asio::ip::address& server)
{
    X509_VERIFY_PARAM* const parameters = SSL_get0_param(handle);
    if (server.is_v4())
    {
        const auto bytes = server.to_v4().to_bytes();
        return X509_VERIFY_PARAM_set1_ip(
                   parameters, bytes.data(), bytes.size()) == 1;
    }
    const auto bytes = server.to_v6().to_bytes();
    return X509_VERIFY_PARAM_set1_ip(parameters, bytes.data(), bytes.size()) ==
           1;
}

handshake_result
make_failure(SSL* handle, const boost::system::error_code& error)
{
    handshake_result result;
    const long verified = SSL_get_verify_result(handle);
    result.server_untrusted = verified != X509_V_OK;
    result.client_refused =
        !result.server_untrusted && is_certificate_alert(error);
    result.reason = result.server_untrusted
                        ? X509_verify_cert_error_string(verified)
                        : error.message();
    return result;
}

} // namespace

asio::awaitable<bool> secure_stream::accept_tls(context_ptr context)
{
    this->tls_layer.emplace(this->tcp, *context);
    const auto [error] = co_await this->tls_layer->async_handshake(
        asio::ssl::stream_base::server, as_error_tuple);
    co_return !error;
}

asio::awaitable<handshake_result>
secure_stream::connect_tls(context_ptr context, asio::ip::address server)
{
    this->tls_layer.emplace(this->tcp, *context);
    SSL* const handle = this->tls_layer->native_handle();
    if (!set_expected_address(handle, server))
    {
        handshake_result result;
        result.reason = "cannot set the IP address to verify";
        co_return result;
    }
    const auto [error] = co_await this->tls_layer->async_handshake(
        asio::ssl::stream_base::client, as_error_tuple);
    if (error)
        co_return make_failure(handle, error);
    handshake_result result;
    result.secured = true;
    co_return result;
}

asio::awaitable<void> secure_stream::shutdown_tls()
{
    if (this->tls_layer)
        co_await this->tls_layer->async_shutdown(as_error_tuple);
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
    return header[0] == alert_record ||
           (header[0] == data_record && length == encrypted_alert_bytes);
}

idle_state secure_stream::check_idle()
{
    if (this->tls_layer)
    {
        SSL* const handle = this->tls_layer->native_handle();
        if (SSL_has_pending(handle) == 1 ||
            BIO_ctrl_pending(SSL_get_rbio(handle)) != 0)
            return idle_state::has_data;
    }
    char byte = 0;
    const auto count = ::recv(
        this->tcp.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return this->secured() && this->peer_closing() ? idle_state::closed
                                                       : idle_state::has_data;
    const bool nothing = count < 0 && (errno == EAGAIN || errno == EINTR);
    return nothing ? idle_state::no_data : idle_state::closed;
}

} // namespace roseworks::tls
