#include "adapters/platform/http_client.hpp"
#include "adapters/tls/connector.hpp"
#include "adapters/tls/context_source.hpp"
#include "tests/support/test_certificate.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using roseworks::platform::exchange_outcome;
using roseworks::platform::http_answer;
using roseworks::platform::http_client;
using roseworks::test::test_certificate;
using tls::context_source;
using role = tls::certificate_error::role;

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using source_ptr = std::unique_ptr<context_source>;

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A loaded source, or the text of the problem.
struct loaded
{
    loaded(tls::side end, const tls::certificate_files& files)
    {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void>
            {
                BOOST_LEAF_ASSIGN(
                    this->source, context_source::load(end, files));
                return {};
            },
            [&](const tls::certificate_error& error)
            {
                this->problem = error.file + ": " + error.what;
            },
            [] {});
    }

    source_ptr source;
    std::string problem;
};

source_ptr server_of(const test_certificate& own, const std::string& ca = {})
{
    return loaded(tls::side::server, {own.certificate(), own.key(), ca}).source;
}

source_ptr client_of(const std::string& ca)
{
    return loaded(tls::side::client, {"", "", ca}).source;
}

source_ptr client_of(const std::string& ca, const test_certificate& own)
{
    return loaded(tls::side::client, {own.certificate(), own.key(), ca}).source;
}

/// A client, and a server that sends a response to each piece of data it reads.
class exchange_fixture
{
public:
    exchange_fixture(const context_source& server, const context_source& client)
        : contexts(server)
        , acceptor(this->context, {asio::ip::address_v4::loopback(), 0})
        , tls_connector(
              client,
              [this](const tls::handshake_failure& what)
              {
                  this->failures.push_back(what);
              })
        , http(
              this->context.get_executor(),
              this->acceptor.local_endpoint(),
              options(&this->tls_connector),
              this->meter)
    {
        asio::co_spawn(this->context, this->accept(), asio::detached);
    }

    http_answer call()
    {
        http_answer response;
        asio::co_spawn(
            this->context, this->send_request(response), asio::detached);
        this->context.restart();
        this->context.run();
        return response;
    }

    std::vector<tls::handshake_failure> failures;
    int accepted = 0;
    int pieces = 0; ///< successful reads of the server

private:
    static http_client::options options(const tls::connector* by)
    {
        http_client::options wanted;
        wanted.tls_connector = by;
        return wanted;
    }

    asio::awaitable<void> send_request(http_answer& response)
    {
        platform::http_call what;
        what.target = "/secret";
        what.timeout = std::chrono::seconds(20);
        response = co_await this->http.send(std::move(what));
        this->context.stop();
    }

    asio::awaitable<void> accept()
    {
        while (true)
        {
            tcp::socket socket =
                co_await this->acceptor.async_accept(asio::use_awaitable);
            ++this->accepted;
            asio::co_spawn(
                this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        tls::secure_stream stream(std::move(socket));
        const bool secured =
            co_await stream.accept_tls(this->contexts.current());
        std::array<char, 4096> bytes;
        while (secured)
        {
            const auto [error, size] = co_await stream.async_read_some(
                asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
            if (error)
                co_return;
            ++this->pieces;
            co_await asio::async_write(
                stream,
                asio::buffer(answer),
                asio::as_tuple(asio::use_awaitable));
        }
    }

    const context_source& contexts;
    asio::io_context context;
    tcp::acceptor acceptor;
    tls::connector tls_connector;
    platform::byte_meter meter;
    http_client http;
};

/// One write of several TLS records to a server that reads none of them.
class stalled_write
{
public:
    stalled_write(const context_source& server, const context_source& client)
        : server_contexts(server)
        , client_contexts(client)
        , acceptor(this->context, {asio::ip::address_v4::loopback(), 0})
        , accepted(this->context.get_executor())
        , stream(this->context.get_executor())
    {
        this->acceptor.set_option(
            asio::socket_base::receive_buffer_size(small_buffer));
    }

    void run()
    {
        asio::co_spawn(this->context, this->serve(), asio::detached);
        asio::co_spawn(this->context, this->write(), asio::detached);
        this->context.run();
    }

    bool failed = false;
    std::size_t reported = 1; ///< bytes reported by the write
    std::uint64_t sent = 0;   ///< bytes sent according to the stream's count

private:
    static constexpr int small_buffer = 4096;

    asio::awaitable<void> serve()
    {
        this->accepted.socket() =
            co_await this->acceptor.async_accept(asio::use_awaitable);
        co_await this->accepted.accept_tls(this->server_contexts.current());
    }

    asio::awaitable<void> write()
    {
        const auto endpoint = this->acceptor.local_endpoint();
        co_await this->stream.async_connect(endpoint, asio::use_awaitable);
        this->stream.socket().set_option(
            asio::socket_base::send_buffer_size(small_buffer));
        co_await this->stream.connect_tls(
            this->client_contexts.current(), endpoint.address());
        const std::uint64_t before = this->stream.secured_bytes();
        this->stream.expires_after(std::chrono::milliseconds(300));
        const std::string body(60'000, 'x');
        const auto [error, size] = co_await this->stream.async_write_some(
            asio::buffer(body), asio::as_tuple(asio::use_awaitable));
        this->failed = bool(error);
        this->reported = size;
        this->sent = this->stream.secured_bytes() - before;
    }

    const context_source& server_contexts;
    const context_source& client_contexts;
    asio::io_context context;
    tcp::acceptor acceptor;
    tls::secure_stream accepted;
    tls::secure_stream stream;
};

void expect_refused(
    const test_certificate& server,
    const std::string& ca,
    std::string_view expected_reason)
{
    const auto server_contexts = server_of(server);
    const auto client_contexts = client_of(ca);
    exchange_fixture fixture(*server_contexts, *client_contexts);
    cr_assert_eq(fixture.call().outcome, exchange_outcome::not_sent);
    cr_assert_eq(fixture.call().outcome, exchange_outcome::not_sent);
    cr_assert_eq(fixture.accepted, 2);
    cr_assert_eq(fixture.pieces, 0);
    cr_assert_eq(fixture.failures.size(), 1U, "reported once");
    const auto& failure = fixture.failures.front();
    cr_assert(failure.file_role == role::trusted);
    cr_assert(failure.address.starts_with("127.0.0.1:"));
    cr_assert_neq(
        failure.reason.find(expected_reason),
        std::string::npos,
        "%s",
        failure.reason.c_str());
}

} // namespace

Test(connector, reaches_a_server_by_its_ip_address_and_keeps_the_connection)
{
    const test_certificate server("connector-server");
    const auto server_contexts = server_of(server);
    const auto client_contexts = client_of(server.certificate());
    exchange_fixture fixture(*server_contexts, *client_contexts);
    for (int i = 0; i < 3; ++i)
        cr_assert(fixture.call().is(200));
    cr_assert_eq(fixture.accepted, 1);
    cr_assert(fixture.failures.empty());
}

Test(connector, sends_nothing_to_a_server_signed_by_another_authority)
{
    const test_certificate server("connector-theirs");
    const test_certificate other("connector-other");
    expect_refused(server, other.certificate(), "self-signed");
}

Test(connector, sends_nothing_to_a_server_with_another_ip_address)
{
    const test_certificate server("connector-ip", {"127.0.0.9", false});
    expect_refused(server, server.certificate(), "IP address mismatch");
}

Test(connector, sends_nothing_to_a_server_whose_certificate_has_expired)
{
    const test_certificate server("connector-old", {"127.0.0.1", true});
    const test_certificate valid("connector-valid");
    std::ofstream(valid.certificate(), std::ios::app) << server.text();
    expect_refused(server, valid.certificate(), "expired");
}

Test(connector, server_that_requires_a_certificate_rejects_untrusted_clients)
{
    const test_certificate server("connector-asks");
    const test_certificate router("connector-router");
    const test_certificate untrusted("connector-stranger");
    const auto server_contexts = server_of(server, router.certificate());
    const auto without = client_of(server.certificate());
    const auto wrong = client_of(server.certificate(), untrusted);
    const auto right = client_of(server.certificate(), router);
    for (const context_source* refused : {without.get(), wrong.get()})
    {
        exchange_fixture fixture(*server_contexts, *refused);
        cr_assert_neq(fixture.call().outcome, exchange_outcome::answered);
        cr_assert_eq(fixture.pieces, 0);
    }
    exchange_fixture fixture(*server_contexts, *right);
    cr_assert(fixture.call().is(200));
}

Test(connector, new_connections_use_the_reloaded_certificates)
{
    const test_certificate server("connector-before");
    const test_certificate next("connector-after");
    const test_certificate trusted("connector-trusted");
    std::ofstream(trusted.certificate()) << server.text();
    const auto client_contexts = client_of(trusted.certificate());
    const auto server_contexts = server_of(server);
    const auto next_server_contexts = server_of(next);
    exchange_fixture before(*server_contexts, *client_contexts);
    cr_assert(before.call().is(200));
    std::ofstream(trusted.certificate()) << next.text();
    cr_assert(client_contexts->reload().value());
    cr_assert(before.call().is(200), "the open connection is kept");
    cr_assert_eq(before.accepted, 1);
    exchange_fixture after(*next_server_contexts, *client_contexts);
    cr_assert(after.call().is(200));
    exchange_fixture old(*server_contexts, *client_contexts);
    cr_assert_eq(old.call().outcome, exchange_outcome::not_sent);
}

Test(connector, names_the_file_that_cannot_be_used)
{
    const test_certificate own("connector-own");
    const test_certificate other("connector-own-2");
    const test_certificate old("connector-expired", {"127.0.0.1", true});
    const auto problem = [](const tls::certificate_files& files)
    {
        return loaded(tls::side::client, files).problem;
    };
    const std::string& ca = other.certificate();
    cr_assert_eq(problem({own.certificate(), own.key(), ca}), "");
    cr_assert_eq(
        problem({own.certificate(), other.key(), ca}),
        other.key() + ": is the key of another certificate");
    cr_assert_eq(
        problem({own.certificate(), "/nowhere", ca}),
        "/nowhere: cannot be opened");
    cr_assert_eq(problem({"", "", "/nowhere"}), "/nowhere: cannot be opened");
    cr_assert_eq(
        problem({"", "", old.certificate()}),
        old.certificate() + ": holds expired certificates only");
    cr_assert_eq(
        problem({old.certificate(), old.key(), ca}),
        old.certificate() + ": has expired");
    cr_assert(problem({"", "", own.key()}).starts_with(own.key() + ": "));
}

/// A secured write that fails reports 0 bytes even after some TLS records were
/// sent. The stream's own count must show them, because a request whose bytes
/// may have arrived must not be treated as unsent.
Test(connector, failed_write_counts_the_bytes_already_sent)
{
    const test_certificate server("connector-stalls");
    const auto server_contexts = server_of(server);
    const auto client_contexts = client_of(server.certificate());
    stalled_write write(*server_contexts, *client_contexts);
    write.run();
    cr_assert(write.failed);
    cr_assert_eq(write.reported, 0U);
    cr_assert_gt(write.sent, 0U);
}
