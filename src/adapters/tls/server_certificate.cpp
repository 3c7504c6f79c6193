#include "adapters/tls/server_certificate.hpp"

#include <boost/asio/buffer.hpp>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509err.h>

#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

namespace roseworks::tls
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

using role = certificate_error::role;

namespace
{

/// One protocol of ALPN's list: its length and its name.
constexpr std::string_view http_1_1 = "\x08http/1.1";

leaf::error_id refuse(role of, const std::string& file, std::string_view what)
{
    return leaf::new_error(certificate_error{of, file, std::string(what)});
}

/// Choose `http/1.1`, or end the handshake when the caller can't speak it.
int choose_protocol(
    SSL*,
    const unsigned char** chosen,
    unsigned char* length,
    const unsigned char* offered,
    unsigned int offered_length,
    void*)
{
    unsigned char* match = nullptr;
    const int result = SSL_select_next_proto(
        &match,
        length,
        reinterpret_cast<const unsigned char*>(http_1_1.data()),
        static_cast<unsigned int>(http_1_1.size()),
        offered,
        offered_length);
    *chosen = match;
    return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK
                                            : SSL_TLSEXT_ERR_ALERT_FATAL;
}

leaf::result<std::string> read_file(role of, const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return refuse(of, name, "cannot be opened");
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (text.empty())
        return refuse(of, name, "is empty");
    return text;
}

leaf::result<context_ptr> make_context(
    const certificate_files& files,
    const std::string& certificate,
    const std::string& key)
{
    auto made =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    SSL_CTX* const native = made->native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    SSL_CTX_set_options(
        native, SSL_OP_NO_COMPRESSION | SSL_OP_NO_RENEGOTIATION);
    SSL_CTX_set_alpn_select_cb(native, &choose_protocol, nullptr);
    // Never ask the terminal.
    made->set_password_callback(
        [](std::size_t, asio::ssl::context::password_purpose)
        {
            return std::string();
        });
    boost::system::error_code error;
    made->use_certificate_chain(asio::buffer(certificate), error);
    if (error)
        return refuse(role::certificate, files.certificate, error.message());
    made->use_private_key(asio::buffer(key), asio::ssl::context::pem, error);
    if (error && ERR_GET_REASON(static_cast<unsigned long>(error.value())) !=
                     X509_R_KEY_VALUES_MISMATCH)
        return refuse(role::key, files.key, error.message());
    if (SSL_CTX_check_private_key(native) != 1)
    {
        ERR_clear_error();
        return refuse(
            role::key, files.key, "is the key of another certificate");
    }
    return made;
}

} // namespace

server_certificate::server_certificate(certificate_files names)
    : files(std::move(names))
{
}

leaf::result<std::unique_ptr<server_certificate>>
server_certificate::load(certificate_files files)
{
    std::unique_ptr<server_certificate> made(
        new server_certificate(std::move(files)));
    BOOST_LEAF_CHECK(made->reload());
    return made;
}

context_ptr server_certificate::current() const
{
    const std::scoped_lock lock(this->mutex);
    return this->context;
}

leaf::result<bool> server_certificate::reload()
{
    BOOST_LEAF_AUTO(
        certificate, read_file(role::certificate, this->files.certificate));
    BOOST_LEAF_AUTO(key, read_file(role::key, this->files.key));
    std::string read = certificate + key;
    if (read == this->last_read)
        return false;
    this->last_read = std::move(read);
    BOOST_LEAF_AUTO(made, make_context(this->files, certificate, key));
    const std::scoped_lock lock(this->mutex);
    this->context = std::move(made);
    return true;
}

} // namespace roseworks::tls
