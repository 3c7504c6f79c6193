#include "tests/support/http_call.hpp"

#include "adapters/tls/context_source.hpp"
#include "adapters/tls/secure_stream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <cctype>
#include <exception>
#include <memory>

namespace roseworks::test
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t max_answer_bytes = 64U << 20;

/// One exchange on an io_context of its own, so that it can time out.
class exchange
{
public:
    exchange(std::string_view address, const http_call& call)
        : stream(this->context.get_executor())
        , limit(call.limit)
        , ca_file(call.ca_file)
    {
        const auto colon = address.rfind(':');
        this->host = std::string(address.substr(0, colon));
        this->port = static_cast<std::uint16_t>(
            std::stoi(std::string(address.substr(colon + 1))));
        this->parser.body_limit(max_answer_bytes);
        this->request.method_string(call.method);
        this->request.target(call.target);
        this->request.version(11);
        this->request.set(http::field::host, std::string(address));
        for (const auto& [name, value] : call.headers)
            this->request.set(name, value);
        this->request.body() = call.body;
        this->request.prepare_payload();
    }

    http_reply run()
    {
        this->stream.expires_after(this->limit);
        this->stream.async_connect(
            asio::ip::tcp::endpoint(
                asio::ip::make_address(this->host), this->port),
            [this](beast::error_code failed)
            {
                this->connected(failed);
            });
        this->context.run();
        return this->reply;
    }

private:
    void connected(beast::error_code failed)
    {
        if (failed)
            return this->failed(failed);
        if (this->ca_file.empty())
            return this->write();
        this->trusted = tls::context_source::load(
                            tls::side::client, {"", "", this->ca_file})
                            .value();
        asio::co_spawn(
            this->context,
            this->stream.connect_tls(
                this->trusted->current(), asio::ip::make_address(this->host)),
            [this](std::exception_ptr, const tls::handshake_result& end)
            {
                if (end.secured)
                    this->write();
                else
                    this->reply.error = end.reason;
            });
    }

    void write()
    {
        http::async_write(
            this->stream,
            this->request,
            [this](beast::error_code error, std::size_t)
            {
                // A refusal may come before the whole body was taken.
                if (!error)
                    this->reply.sent = std::chrono::steady_clock::now();
                this->read();
            });
    }

    void read()
    {
        http::async_read(
            this->stream,
            this->buffer,
            this->parser,
            [this](beast::error_code failed, std::size_t)
            {
                if (failed)
                    this->failed(failed);
                this->keep(failed);
            });
    }

    void failed(beast::error_code error)
    {
        this->reply.error = error.message();
    }

    void keep(beast::error_code failed)
    {
        const auto& message = this->parser.get();
        if (!failed)
            this->reply.status = message.result_int();
        for (const auto& field : message)
        {
            std::string name(field.name_string());
            std::ranges::transform(
                name,
                name.begin(),
                [](unsigned char c)
                {
                    return std::tolower(c);
                });
            this->reply.headers[name] = std::string(field.value());
        }
        this->reply.body = message.body();
    }

    asio::io_context context;
    tls::secure_stream stream;
    std::chrono::seconds limit;
    std::string ca_file;
    std::unique_ptr<tls::context_source> trusted;
    std::string host;
    std::uint16_t port = 0;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    http_reply reply;
};

} // namespace

std::string http_reply::header(std::string_view lower_case_name) const
{
    const auto found = this->headers.find(lower_case_name);
    return found == this->headers.end() ? std::string() : found->second;
}

boost::json::value http_reply::json() const
{
    boost::json::error_code failed;
    auto value = boost::json::parse(this->body, failed);
    return failed ? boost::json::value() : value;
}

http_reply send(std::string_view address, const http_call& call)
{
    return exchange(address, call).run();
}

boost::json::value get_json(std::string_view address, std::string_view target)
{
    http_call call;
    call.target = std::string(target);
    const http_reply reply = send(address, call);
    return reply.status == 200 ? reply.json() : boost::json::value();
}

bool control(std::string_view address, std::string_view json)
{
    http_call call;
    call.method = "POST";
    call.target = "/control";
    call.headers["Content-Type"] = "application/json";
    call.body = std::string(json);
    return send(address, call).status == 200;
}

} // namespace roseworks::test
