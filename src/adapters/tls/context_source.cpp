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

/// An entry of the ALPN protocol list: the length of the name, then the name.
constexpr std::string_view http_1_1 = "\x08http/1.1";

leaf::error_id
make_error(role file_role, const std::string& file, std::string_view what)
{
    return leaf::new_error(
        certificate_error{file_role, file, std::string(what)});
}

/// ALPN callback: selects `http/1.1`, or fails the handshake if the client does
/// not offer it.
int select_alpn_protocol(
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

leaf::result<std::string> read_file(role file_role, const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        return make_error(file_role, name, "cannot be opened");
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (text.empty())
        return make_error(file_role, name, "is empty");
    return text;
}

/// The contents of the files; empty where no file is named.
struct file_contents
{
    std::string certificate;
    std::string key;
    std::string trusted;
};

leaf::result<std::string>
read_optional_file(role file_role, const std::string& name)
{
    if (name.empty())
        return std::string();
    return read_file(file_role, name);
}

leaf::result<file_contents> read_files(const certificate_files& files)
{
    file_contents contents;
    BOOST_LEAF_ASSIGN(
        contents.certificate,
        read_optional_file(role::certificate, files.certificate));
    BOOST_LEAF_ASSIGN(contents.key, read_optional_file(role::key, files.key));
    BOOST_LEAF_ASSIGN(
        contents.trusted, read_optional_file(role::trusted, files.trusted));
    return contents;
}

bool has_expired(const X509* certificate)
{
    return X509_cmp_current_time(X509_get0_notAfter(certificate)) < 0;
}

/// @return Whether at least one trusted certificate has not expired.
bool any_is_valid(SSL_CTX* context)
{
    const STACK_OF(X509_OBJECT)* const objects =
        X509_STORE_get0_objects(SSL_CTX_get_cert_store(context));
    for (int i = 0; i < sk_X509_OBJECT_num(objects); ++i)
    {
        const X509* const certificate =
            X509_OBJECT_get0_X509(sk_X509_OBJECT_value(objects, i));
        if (certificate != nullptr && !has_expired(certificate))
            return true;
    }
    return false;
}

leaf::result<void> load_identity(
    asio::ssl::context& tls_context,
    const certificate_files& files,
    const file_contents& contents)
{
    boost::system::error_code error;
    tls_context.use_certificate_chain(
        asio::buffer(contents.certificate), error);
    if (error)
        return make_error(
            role::certificate, files.certificate, error.message());
    tls_context.use_private_key(
        asio::buffer(contents.key), asio::ssl::context::pem, error);
    if (error && ERR_GET_REASON(static_cast<unsigned long>(error.value())) !=
                     X509_R_KEY_VALUES_MISMATCH)
        return make_error(role::key, files.key, error.message());
    if (SSL_CTX_check_private_key(tls_context.native_handle()) == 1)
        return {};
    ERR_clear_error();
    return make_error(
        role::key, files.key, "is the key of another certificate");
}

leaf::result<void> load_trusted(
    asio::ssl::context& tls_context,
    const certificate_files& files,
    const file_contents& contents)
{
    boost::system::error_code error;
    tls_context.add_certificate_authority(
        asio::buffer(contents.trusted), error);
    if (error)
        return make_error(role::trusted, files.trusted, error.message());
    if (!any_is_valid(tls_context.native_handle()))
        return make_error(
            role::trusted, files.trusted, "holds expired certificates only");
    tls_context.set_verify_mode(
        asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return {};
}

/// Applies the options that only one side of a connection needs.
leaf::result<void> configure_side(
    asio::ssl::context& tls_context,
    side local_side,
    const certificate_files& files)
{
    SSL_CTX* const native = tls_context.native_handle();
    if (local_side == side::server)
    {
        SSL_CTX_set_alpn_select_cb(native, &select_alpn_protocol, nullptr);
        return {};
    }
    SSL_CTX_set_alpn_protos(
        native,
        reinterpret_cast<const unsigned char*>(http_1_1.data()),
        static_cast<unsigned int>(http_1_1.size()));
    const X509* const own = SSL_CTX_get0_certificate(native);
    if (own != nullptr && has_expired(own))
        return make_error(role::certificate, files.certificate, "has expired");
    return {};
}

leaf::result<context_ptr> make_context(
    side local_side,
    const certificate_files& files,
    const file_contents& contents)
{
    auto result = std::make_shared<asio::ssl::context>(
        local_side == side::server ? asio::ssl::context::tls_server
                                   : asio::ssl::context::tls_client);
    SSL_CTX* const native = result->native_handle();
    SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
    SSL_CTX_set_options(
        native, SSL_OP_NO_COMPRESSION | SSL_OP_NO_RENEGOTIATION);
    // Sessions are not resumed, so that every connection verifies its peer.
    SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
    // OpenSSL would otherwise prompt for a password on the terminal.
    result->set_password_callback(
        [](std::size_t, asio::ssl::context::password_purpose)
        {
            return std::string();
        });
    if (!contents.certificate.empty() || local_side == side::server)
        BOOST_LEAF_CHECK(load_identity(*result, files, contents));
    if (!contents.trusted.empty() || local_side == side::client)
        BOOST_LEAF_CHECK(load_trusted(*result, files, contents));
    BOOST_LEAF_CHECK(configure_side(*result, local_side, files));
    return result;
}

} // namespace

context_source::context_source(side local, certificate_files paths)
    : local_side(local)
    , files(std::move(paths))
{
}

leaf::result<std::unique_ptr<context_source>>
context_source::load(side local_side, certificate_files files)
{
    std::unique_ptr<context_source> result(
        new context_source(local_side, std::move(files)));
    BOOST_LEAF_CHECK(result->reload());
    return result;
}

context_ptr context_source::current() const
{
    const std::scoped_lock lock(this->mutex);
    return this->context;
}

leaf::result<bool> context_source::reload()
{
    BOOST_LEAF_AUTO(contents, read_files(this->files));
    std::string read = contents.certificate + contents.key + contents.trusted;
    if (read == this->last_contents)
        return false;
    this->last_contents = std::move(read);
    BOOST_LEAF_AUTO(
        result, make_context(this->local_side, this->files, contents));
    const std::scoped_lock lock(this->mutex);
    this->context = std::move(result);
    return true;
}

} // namespace roseworks::tls
