#include "adapters/forward/probe_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/status.hpp>

#include <utility>

namespace roseworks::forward
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// Requests of probes are small. Larger ones are rejected.
constexpr std::size_t max_probe_header_bytes = 4096;

/// For the requests of all probes.
constexpr std::size_t max_probe_memory = std::size_t(1) << 20;

std::string to_bytes(const probe_response& response)
{
    const auto phrase =
        http::obsolete_reason(static_cast<http::status>(response.status));
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    bytes.append(phrase.data(), phrase.size());
    bytes += "\r\nContent-Type: text/plain\r\nContent-Length: " +
             std::to_string(response.body.size()) + "\r\n\r\n";
    bytes += response.body;
    return bytes;
}

} // namespace

probe_server::probe_server(
    asio::any_io_executor loop, const clock_port& time, handler request_handler)
    : executor(std::move(loop))
    , clock(time)
    , handle(std::move(request_handler))
    , memory({.max_bytes = max_probe_memory})
    , acceptor(this->executor)
{
    this->options.max_header_bytes = max_probe_header_bytes;
}

beast::error_code probe_server::listen(const edge::tcp::endpoint& endpoint)
{
    const beast::error_code error =
        edge::open_listener(this->acceptor, endpoint);
    if (!error)
        asio::co_spawn(this->executor, this->accept(), asio::detached);
    return error;
}

asio::awaitable<void> probe_server::accept()
{
    while (this->acceptor.is_open())
    {
        auto [error, socket] =
            co_await this->acceptor.async_accept(edge::use_awaitable_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            asio::co_spawn(
                this->executor, this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> probe_server::serve(edge::tcp::socket socket)
{
    edge::caller_connection connection(
        std::move(socket), this->options, this->memory, this->clock);
    bool reusable = true;
    while (reusable)
    {
        edge::caller_parser parser;
        const edge::caller_read read =
            co_await connection.read_head(parser, this->options.caller_idle);
        if (read.result != edge::caller_read::status::done)
            co_return;
        const auto target = parser.get().target();
        const probe_response response =
            this->handle(std::string_view(target.data(), target.size()));
        reusable = co_await connection.write_raw(to_bytes(response));
        reusable = reusable && parser.get().keep_alive();
    }
    co_await connection.linger_close();
}

void probe_server::stop()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
}

} // namespace roseworks::forward
