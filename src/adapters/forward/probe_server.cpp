#include "adapters/forward/probe_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <chrono>
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

/// Load balancers and collectors open a few. Beyond them, the connection that
/// has been idle for the longest time is closed.
constexpr std::size_t max_probe_connections = 64;

/// Pause after a failed accept. The usual cause is a lack of file descriptors.
constexpr std::chrono::milliseconds accept_pause{50};

receive_budget::options make_memory_options()
{
    receive_budget::options made;
    made.max_bytes = max_probe_memory;
    // A load balancer waits a second at most for a response.
    made.stall_time = duration::zero();
    return made;
}

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
    , memory(make_memory_options())
    , acceptor(this->executor)
{
    this->options.max_header_bytes = max_probe_header_bytes;
    this->options.receive_buffer = max_probe_header_bytes;
}

beast::error_code probe_server::listen(const edge::tcp::endpoint& endpoint)
{
    const beast::error_code error = edge::open_listener(
        this->acceptor, endpoint, this->options.receive_buffer);
    if (!error)
        asio::co_spawn(this->executor, this->accept(), asio::detached);
    return error;
}

asio::awaitable<void> probe_server::accept()
{
    asio::steady_timer pause(this->executor);
    while (this->acceptor.is_open())
    {
        auto [error, socket] =
            co_await this->acceptor.async_accept(edge::use_awaitable_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
        {
            pause.expires_after(accept_pause);
            co_await pause.async_wait(edge::use_awaitable_tuple);
            continue;
        }
        const std::size_t staying =
            this->open - std::min(this->open, this->memory.leaving());
        if (staying < max_probe_connections ||
            this->memory.free_place(this->clock.now()))
            asio::co_spawn(
                this->executor, this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> probe_server::serve(edge::tcp::socket socket)
{
    ++this->open;
    co_await this->serve_requests(std::move(socket));
    --this->open;
}

asio::awaitable<void> probe_server::serve_requests(edge::tcp::socket socket)
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
