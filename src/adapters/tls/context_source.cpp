#include "adapters/tls/context_source.hpp"

#include <boost/asio/buffer.hpp>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509_vfy.h>
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

/// The text of the files; empty where none is named.
struct file_texts
{
    std::string certificate;
    std::string key;
    std::string trusted;
};

leaf::result<std::string> read_named(role of, const std::string& name)
{
    if (name.empty())
        return std::string();
    return read_file(of, name);
}

leaf::result<file_texts> read_files(const certificate_files& files)
{
    file_texts texts;
    BOOST_LEAF_ASSIGN(
        texts.certificate, read_named(role::certificate, files.certificate));
    BOOST_LEAF_ASSIGN(texts.key, read_named(role::key, files.key));
    BOOST_LEAF_ASSIGN(texts.trusted, read_named(role::trusted, files.trusted));
    return texts;
}

bool has_expired(const X509* certificate)
{
    return X509_cmp_current_time(X509_get0_notAfter(certificate)) < 0;
}

/// @return Whether some trusted certificate is still valid.
bool any_is_valid(SSL_CTX* context)
{
    const STACK_OF(X509_OBJECT)* const all =
        X509_STORE_get0_objects(SSL_CTX_get_cert_store(context));
    for (int i = 0; i < sk_X509_OBJECT_num(all); ++i)
    {
        const X509* const one =
            X509_OBJECT_get0_X509(sk_X509_OBJECT_value(all, i));
        if (one != nullptr && !has_expired(one))
            return true;
    }
    return false;
}

leaf::result<void> use_identity(
    asio::ssl::context& into,
    const certificate_files& files,
    const file_texts& texts)
{
    boost::system::error_code error;
    into.use_certificate_chain(asio::buffer(texts.certificate), error);
    if (error)
        return refuse(role::certificate, files.certificate, error.message());
    into.use_private_key(
        asio::buffer(texts.key), asio::ssl::context::pem, error);
    if (error && ERR_GET_REASON(static_cast<unsigned long>(error.value())) !=
                     X509_R_KEY_VALUES_MISMATCH)
        return refuse(role::key, files.key, error.message());
    if (SSL_CTX_check_private_key(into.native_handle()) == 1)
        return {};
    ERR_clear_error();
    return refuse(role::key, files.key, "is the key of another certificate");
}

leaf::result<void> use_trusted(
    asio::ssl::context& into,
    const certificate_files& files,
    const file_texts& texts)
{
    boost::system::error_code error;
    into.add_certificate_authority(asio::buffer(texts.trusted), error);
    if (error)
        return refuse(role::trusted, files.trusted, error.message());
    if (!any_is_valid(into.native_handle()))
        return refuse(
            role::trusted, files.trusted, "holds expired certificates only");
    into.set_verify_mode(
        asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return {};
}

/// Sets what is particular to one end.
leaf::result<void>
prepare_end(asio::ssl::context& of, side end, const certificate_files& files)
{
    SSL_CTX* const native = of.native_handle();
    if (end == side::server)
    {
        SSL_CTX_set_alpn_select_cb(native, &choose_protocol, nullptr);
        return {};
    }
    SSL_CTX_set_alpn_protos(
        native,
        reinterpret_cast<const unsigned char*>(http_1_1.data()),
        static_cast<unsigned int>(http_1_1.size()));
    const X509* const own = SSL_CTX_get0_certificate(native);
    if (own != nullptr && has_expired(own))
        return refuse(role::certificate, files.certificate, "has expired");
    return {};
}

leaf::result<context_ptr>
make_context(side end, const certificate_files& files, const file_texts& texts)
{
    auto made = std::make_shared<asio::ssl::context>(
        end == side::server ? asio::ssl::context::tls_server
                            : asio::ssl::context::tls_client);
    SSL_CTX* const native = made->native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    SSL_CTX_set_options(
        native, SSL_OP_NO_COMPRESSION | SSL_OP_NO_RENEGOTIATION);
    // Connections aren't resumed: each end is verified anew.
    SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
    // Never ask the terminal.
    made->set_password_callback(
        [](std::size_t, asio::ssl::context::password_purpose)
        {
            return std::string();
        });
    if (!texts.certificate.empty() || end == side::server)
        BOOST_LEAF_CHECK(use_identity(*made, files, texts));
    if (!texts.trusted.empty() || end == side::client)
        BOOST_LEAF_CHECK(use_trusted(*made, files, texts));
    BOOST_LEAF_CHECK(prepare_end(*made, end, files));
    return made;
}

} // namespace

context_source::context_source(side of, certificate_files names)
    : end(of)
    , files(std::move(names))
{
}

leaf::result<std::unique_ptr<context_source>>
context_source::load(side end, certificate_files files)
{
    std::unique_ptr<context_source> made(
        new context_source(end, std::move(files)));
    BOOST_LEAF_CHECK(made->reload());
    return made;
}

context_ptr context_source::current() const
{
    const std::scoped_lock lock(this->mutex);
    return this->context;
}

leaf::result<bool> context_source::reload()
{
    BOOST_LEAF_AUTO(texts, read_files(this->files));
    std::string read = texts.certificate + texts.key + texts.trusted;
    if (read == this->last_read)
        return false;
    this->last_read = std::move(read);
    BOOST_LEAF_AUTO(made, make_context(this->end, this->files, texts));
    const std::scoped_lock lock(this->mutex);
    this->context = std::move(made);
    return true;
}

} // namespace roseworks::tls
