#include "tools/common/http_call.hpp"

#include "tools/common/exit_code.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <cstdint>
#include <exception>
#include <sstream>

namespace roseworks::tools
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;
constexpr std::uint64_t max_answer_bytes = std::uint64_t(64) << 20;

/// One exchange: each step runs the context until it is done or too late.
class exchange
{
    /// A completion handler for any signature that starts with the error.
    auto step()
    {
        return [this](beast::error_code error, auto&&...)
        {
            this->outcome = error;
        };
    }

public:
    exchange(const endpoint& to, std::chrono::milliseconds timeout)
        : server(to)
        , stream(this->context.get_executor())
    {
        this->stream.expires_after(timeout);
    }

    beast::error_code connect()
    {
        this->stream.async_connect(this->server, this->step());
        return this->run();
    }

    /// @return Why it isn't secured; empty when it is.
    std::string secure(const tls::context_source& by)
    {
        tls::handshake_result end;
        asio::co_spawn(
            this->context,
            this->stream.connect_tls(by.current(), this->server.address()),
            [&end](std::exception_ptr, tls::handshake_result came)
            {
                end = std::move(came);
            });
        this->run();
        return end.secured ? std::string() : "TLS: " + end.reason;
    }

    beast::error_code send(const http::request<http::string_body>& request)
    {
        http::async_write(this->stream, request, this->step());
        return this->run();
    }

    beast::error_code receive(http::response_parser<http::string_body>& parser)
    {
        http::async_read(this->stream, this->buffer, parser, this->step());
        return this->run();
    }

private:
    beast::error_code run()
    {
        this->context.restart();
        this->context.run();
        return this->outcome;
    }

    asio::io_context context{1};
    endpoint server;
    tls::secure_stream stream;
    beast::flat_buffer buffer;
    beast::error_code outcome;
};

http::request<http::string_body>
to_beast(const endpoint& server, const http_request& request)
{
    http::request<http::string_body> message(
        request.method, request.target, http_1_1);
    message.set(http::field::host, to_string(server));
    message.keep_alive(false);
    for (const auto& [name, value] : request.headers)
    {
        message.set(name, value);
    }
    if (!request.body.empty())
    {
        message.set(http::field::content_type, request.content_type);
        message.body() = request.body;
    }
    message.prepare_payload();
    return message;
}

} // namespace

std::string_view http_reply::header(std::string_view name) const
{
    const auto value = this->headers[beast::string_view(name)];
    return {value.data(), value.size()};
}

boost::leaf::result<http_reply> http_call(
    const endpoint& server,
    const http_request& request,
    std::chrono::milliseconds timeout,
    const tls::context_source* secured)
{
    exchange running(server, timeout);
    if (const auto error = running.connect())
    {
        return boost::leaf::new_error(http_error{false, error.message()});
    }
    const std::string refused =
        secured == nullptr ? std::string() : running.secure(*secured);
    if (!refused.empty())
    {
        return boost::leaf::new_error(http_error{false, refused});
    }
    if (const auto error = running.send(to_beast(server, request)))
    {
        return boost::leaf::new_error(http_error{true, error.message()});
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    if (const auto error = running.receive(parser))
    {
        return boost::leaf::new_error(http_error{true, error.message()});
    }
    http::response<http::string_body> answer = parser.release();
    http_reply reply;
    reply.status = answer.result_int();
    reply.body = std::move(answer.body());
    reply.headers = answer.base();
    return reply;
}

boost::leaf::result<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    const std::string_view digits =
        colon == std::string_view::npos ? "" : text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, failure] = std::from_chars(digits.data(), end, port);
    std::string ip(text.substr(0, text.size() - digits.size()));
    if (!ip.empty())
    {
        ip.pop_back();
    }
    if (ip.starts_with('[') && ip.ends_with(']'))
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (error || failure != std::errc() || stop != end || port == 0)
    {
        return boost::leaf::new_error(
            input_error{"not ip:port: " + std::string(text)});
    }
    return endpoint(address, port);
}

boost::leaf::result<std::vector<endpoint>>
parse_endpoints(std::string_view text)
{
    std::vector<endpoint> all;
    while (!text.empty())
    {
        const std::string_view piece = text.substr(0, text.find(','));
        BOOST_LEAF_AUTO(server, parse_endpoint(piece));
        all.push_back(server);
        text.remove_prefix(std::min(text.size(), piece.size() + 1));
    }
    return all;
}

std::string to_string(const endpoint& server)
{
    std::ostringstream out;
    out << server;
    return out.str();
}

} // namespace roseworks::tools
