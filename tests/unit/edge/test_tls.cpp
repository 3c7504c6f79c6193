#include "adapters/tls/context_source.hpp"
#include "edge_fixture.hpp"
#include "tests/support/test_certificate.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <openssl/x509.h>

#include <fstream>
#include <optional>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::edge;
using namespace roseworks::edge::tests;
using roseworks::test::test_certificate;
using tls::context_source;

namespace
{

namespace ssl = boost::asio::ssl;

const std::string health_request = "GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n";

/// Runs a step that reads certificate files.
/// @return The error text; empty on success.
template <class Step>
std::string problem_of(Step&& step)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(step());
            return std::string();
        },
        [](const tls::certificate_error& error)
        {
            const bool key =
                error.file_role == tls::certificate_error::role::key;
            return (key ? "key " : "certificate ") + error.file + ": " +
                   error.what;
        },
        []
        {
            return std::string("another error");
        });
}

std::unique_ptr<context_source> loaded(const test_certificate& files)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::unique_ptr<context_source>>
        {
            return context_source::load(
                tls::side::server, {files.certificate(), files.key(), ""});
        },
        []
        {
            return std::unique_ptr<context_source>();
        });
}

std::function<tls::context_ptr()>
certificate_callback(const context_source& certificate)
{
    return [&certificate]
    {
        return certificate.current();
    };
}

/// An HTTPS client with a blocking socket.
class tls_caller
{
public:
    explicit tls_caller(
        std::uint16_t port, int newest = TLS1_3_VERSION, bool http_1_1 = true)
        : settings(ssl::context::tls_client)
        , stream(this->context, this->settings)
    {
        constexpr unsigned char protocols[] = "\x08http/1.1";
        constexpr unsigned char others[] = "\x02h2";
        SSL* const native = this->stream.native_handle();
        SSL_set_min_proto_version(native, TLS1_VERSION);
        SSL_set_max_proto_version(native, newest);
        // Otherwise OpenSSL's client rejects old versions before the server
        // can reject them.
        SSL_set_security_level(native, 0);
        SSL_set_alpn_protos(
            native,
            http_1_1 ? protocols : others,
            http_1_1 ? sizeof(protocols) - 1 : sizeof(others) - 1);
        this->stream.next_layer().connect(
            {asio::ip::address_v4::loopback(), port});
        this->stream.handshake(ssl::stream_base::client, this->handshake_error);
    }

    std::optional<http_answer> call(const std::string& text)
    {
        boost::system::error_code error;
        asio::write(this->stream, asio::buffer(text), error);
        http_answer answer;
        http::read(this->stream, this->buffer, answer, error);
        if (error)
            return std::nullopt;
        return answer;
    }

    void send(const std::string& text)
    {
        asio::write(this->stream, asio::buffer(text));
    }

    void close()
    {
        // Sends close_notify without waiting for that of the server.
        boost::system::error_code ignored;
        this->stream.next_layer().shutdown(
            tcp::socket::shutdown_receive, ignored);
        this->stream.shutdown(ignored);
        this->stream.next_layer().close(ignored);
    }

    std::string version()
    {
        return SSL_get_version(this->stream.native_handle());
    }

    std::string protocol()
    {
        const unsigned char* name = nullptr;
        unsigned length = 0;
        SSL_get0_alpn_selected(this->stream.native_handle(), &name, &length);
        return {reinterpret_cast<const char*>(name), length};
    }

    std::string server_name()
    {
        X509* const seen =
            SSL_get1_peer_certificate(this->stream.native_handle());
        char text[64] = {};
        X509_NAME_get_text_by_NID(
            X509_get_subject_name(seen), NID_commonName, text, sizeof(text));
        X509_free(seen);
        return text;
    }

    boost::system::error_code handshake_error;

private:
    asio::io_context context;
    ssl::context settings;
    ssl::stream<tcp::socket> stream;
    beast::flat_buffer buffer;
};

} // namespace

Test(tls, serves_callers_over_tls_1_2_and_1_3_with_http_1_1)
{
    const test_certificate files("serves");
    const auto certificate = loaded(files);
    edge_fixture fixture({}, certificate_callback(*certificate));
    const auto port = fixture.start();
    tls_caller newest(port);
    cr_assert(
        !newest.handshake_error,
        "%s",
        newest.handshake_error.message().c_str());
    cr_assert_eq(newest.version(), "TLSv1.3");
    cr_assert_eq(newest.protocol(), "http/1.1");
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(newest.call(health_request)->result_int(), 200U);
    tls_caller older(port, TLS1_2_VERSION);
    cr_assert_eq(older.version(), "TLSv1.2");
    cr_assert_eq(older.call(health_request)->result_int(), 200U);
}

Test(tls, refuses_old_versions_other_protocols_and_plain_text)
{
    const test_certificate files("refuses");
    const auto certificate = loaded(files);
    edge_fixture fixture({}, certificate_callback(*certificate));
    const auto port = fixture.start();
    cr_assert(bool(tls_caller(port, TLS1_1_VERSION).handshake_error));
    cr_assert(bool(tls_caller(port, TLS1_3_VERSION, false).handshake_error));
    test_caller plain = fixture.caller();
    plain.send(completion());
    cr_assert_not(plain.read().has_value());
    cr_assert_eq(fixture.dispatch.submitted, 0);
}

Test(tls, a_new_certificate_drops_no_connection)
{
    const test_certificate files("before");
    const auto certificate = loaded(files);
    edge_fixture fixture({}, certificate_callback(*certificate));
    const auto port = fixture.start();
    tls_caller open(port);
    cr_assert_eq(open.call(health_request)->result_int(), 200U);
    files.replace("after");
    cr_assert_str_empty(problem_of(
                            [&]
                            {
                                return certificate->reload();
                            })
                            .c_str());
    cr_assert_eq(open.call(health_request)->result_int(), 200U);
    cr_assert_eq(open.server_name(), "before");
    tls_caller fresh(port);
    cr_assert_eq(fresh.server_name(), "after");
    cr_assert_eq(fresh.call(health_request)->result_int(), 200U);

    std::ofstream(files.certificate()) << "no certificate\n";
    const auto again = [&]
    {
        return certificate->reload();
    };
    const std::string problem = problem_of(again);
    cr_assert(problem.starts_with("certificate " + files.certificate()));
    cr_assert_str_empty(problem_of(again).c_str(), "reported once");
    cr_assert_eq(tls_caller(port).server_name(), "after");
}

Test(tls, names_the_file_that_cannot_be_used)
{
    const test_certificate one("one");
    const test_certificate two("two");
    const auto problem = [](std::string certificate, std::string key)
    {
        return problem_of(
            [&]
            {
                return context_source::load(
                    tls::side::server, {certificate, key, ""});
            });
    };
    cr_assert_str_empty(problem(one.certificate(), one.key()).c_str());
    cr_assert_eq(
        problem(one.certificate(), two.key()),
        "key " + two.key() + ": is the key of another certificate");
    cr_assert_eq(
        problem("/nowhere.pem", one.key()),
        "certificate /nowhere.pem: cannot be opened");
    cr_assert(problem(one.key(), one.key())
                  .starts_with("certificate " + one.key() + ": "));
    cr_assert(problem(one.certificate(), one.certificate())
                  .starts_with("key " + one.certificate() + ": "));
}

Test(tls, a_caller_that_leaves_ends_its_call)
{
    const test_certificate files("leaves");
    const auto certificate = loaded(files);
    for (const int version : {TLS1_2_VERSION, TLS1_3_VERSION})
    {
        edge_fixture fixture({}, certificate_callback(*certificate));
        fixture.dispatch.grants_enabled = false;
        const auto port = fixture.start();
        tls_caller caller(port, version);
        caller.send(completion());
        cr_assert(eventually(
            [&]
            {
                return fixture.dispatch.submitted == 1;
            }));
        caller.close();
        cr_assert(eventually(
            [&]
            {
                return fixture.dispatch.abandoned == 1;
            }));
    }
}
