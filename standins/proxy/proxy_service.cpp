#include "standins/proxy/proxy_service.hpp"

#include "standins/common/json_fields.hpp"
#include "standins/common/program.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace roseworks::standins
{

namespace
{

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t piece_bytes = std::size_t(16) * 1024;
constexpr std::chrono::seconds drain_idle_limit{5};

constexpr std::array<std::pair<std::string_view, proxy_mode>, 7> mode_names{{
    {"pass", proxy_mode::pass},
    {"silent", proxy_mode::silent},
    {"reset", proxy_mode::reset},
    {"refuse", proxy_mode::refuse},
    {"delay", proxy_mode::delay},
    {"truncate", proxy_mode::truncate},
    {"swallow_answer", proxy_mode::swallow_answer},
}};

proxy_mode parse_mode(std::string_view name)
{
    for (const auto& [text, value] : mode_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    throw bad_request("unknown mode " + std::string(name));
}

/// Reads the scope of `silent`: true for all connections, false for those
/// that are open now.
bool parse_scope(std::string_view name)
{
    if (name != "all" && name != "existing")
    {
        throw bad_request("unknown scope " + std::string(name));
    }
    return name == "all";
}

truncate_end parse_end(std::string_view name)
{
    if (name == "close")
    {
        return truncate_end::close;
    }
    if (name == "reset")
    {
        return truncate_end::reset;
    }
    if (name == "silent")
    {
        return truncate_end::silent;
    }
    throw bad_request("unknown end " + std::string(name));
}

void reset_socket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void close_socket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.shutdown(asio::socket_base::shutdown_both, ignored);
    socket.close(ignored);
}

} // namespace

/// A client's connection and the one to the target that belongs to it.
struct proxy_service::connection
    : std::enable_shared_from_this<proxy_service::connection>
{
    connection(tcp::socket accepted, std::set<connection*>& open)
        : client(std::move(accepted))
        , target(this->client.get_executor())
        , registry(open)
    {
        this->registry.insert(this);
    }

    ~connection()
    {
        this->registry.erase(this);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close()
    {
        close_socket(this->client);
        close_socket(this->target);
    }

    tcp::socket client;
    tcp::socket target;
    std::set<connection*>& registry;
    bool silent = false;
    bool swallowed = false;
    std::uint64_t counted_mode = 0;
    std::uint64_t counted_bytes = 0;
};

proxy_service::proxy_service(tcp::endpoint listen, tcp::endpoint server)
    : listen_endpoint(std::move(listen))
    , target_endpoint(std::move(server))
{
}

void proxy_service::start(asio::io_context& context)
{
    tcp::acceptor acceptor(context, this->listen_endpoint);
    this->listen_endpoint = acceptor.local_endpoint();
    announce("listening", this->listen_endpoint.port());
    asio::co_spawn(
        context, this->accept_connections(std::move(acceptor)), asio::detached);
}

void proxy_service::control(const json::object& command)
{
    const proxy_mode wanted = parse_mode(string_field(command, "mode"));
    const bool all = parse_scope(string_field(command, "scope", "existing"));
    const std::uint64_t delay_ms = number_field(command, "delay_ms");
    const std::uint64_t after_bytes = number_field(command, "after_bytes");
    const truncate_end how = parse_end(string_field(command, "end", "close"));

    this->watched = string_field(command, "watch", this->watched);
    this->mode = wanted;
    this->delay = std::chrono::milliseconds(delay_ms);
    this->truncate_after = after_bytes;
    this->truncate_how = how;
    ++this->mode_changes;
    if (wanted == proxy_mode::silent)
    {
        this->silence_connections();
        this->mode = all ? proxy_mode::silent : proxy_mode::pass;
    }
    if (wanted == proxy_mode::reset)
    {
        this->reset_connections();
    }
    if (wanted == proxy_mode::refuse && this->listening != nullptr)
    {
        this->listening->close();
    }
    this->changed.notify_all();
}

json::object proxy_service::ledger() const
{
    json::object result;
    result["accepted"] = this->accepted;
    result["open"] = this->connections.size();
    result["bytes_to_target"] = this->bytes_to_target;
    result["bytes_to_client"] = this->bytes_to_client;
    result["bytes_discarded"] = this->bytes_discarded;
    result["watched_seen"] = this->watched_seen;
    return result;
}

asio::awaitable<void> proxy_service::serve(exchange& call)
{
    return send_not_found(call);
}

void proxy_service::silence_connections()
{
    for (connection* link : this->connections)
    {
        link->silent = true;
    }
}

void proxy_service::reset_connections()
{
    for (connection* link : this->connections)
    {
        reset_socket(link->client);
        reset_socket(link->target);
    }
}

asio::awaitable<void> proxy_service::accept_connections(tcp::acceptor acceptor)
{
    this->listening = &acceptor;
    while (true)
    {
        if (!acceptor.is_open())
        {
            co_await this->hold_port(acceptor);
        }
        auto [error, client] = co_await acceptor.async_accept(quietly);
        if (error)
        {
            continue;
        }
        ++this->accepted;
        if (this->mode == proxy_mode::reset)
        {
            reset_socket(client);
            continue;
        }
        asio::co_spawn(
            acceptor.get_executor(),
            this->run(std::move(client)),
            asio::detached);
    }
}

asio::awaitable<void> proxy_service::hold_port(tcp::acceptor& acceptor)
{
    acceptor.open(this->listen_endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(this->listen_endpoint);
    this->listening = nullptr;
    while (this->mode == proxy_mode::refuse)
    {
        co_await this->changed.wait();
    }
    acceptor.listen();
    this->listening = &acceptor;
}

asio::awaitable<void> proxy_service::run(tcp::socket client)
{
    auto link =
        std::make_shared<connection>(std::move(client), this->connections);
    if (this->mode == proxy_mode::silent)
    {
        link->silent = true;
        co_await this->discard(link);
        co_return;
    }
    const auto [error] =
        co_await link->target.async_connect(this->target_endpoint, quietly);
    if (error)
    {
        co_return;
    }
    boost::system::error_code ignored;
    link->client.set_option(tcp::no_delay(true), ignored);
    link->target.set_option(tcp::no_delay(true), ignored);
    const asio::any_io_executor executor = link->client.get_executor();
    asio::co_spawn(
        executor, this->pump(link, direction::to_target), asio::detached);
    asio::co_spawn(
        executor, this->pump(link, direction::to_client), asio::detached);
}

asio::awaitable<void> proxy_service::discard(std::shared_ptr<connection> link)
{
    std::array<char, piece_bytes> bytes;
    while (true)
    {
        const auto [error, size] =
            co_await link->client.async_read_some(asio::buffer(bytes), quietly);
        if (error)
        {
            co_return;
        }
        this->bytes_discarded += size;
    }
}

asio::awaitable<void>
proxy_service::pump(std::shared_ptr<connection> link, direction way)
{
    const bool to_target = way == direction::to_target;
    tcp::socket& source = to_target ? link->client : link->target;
    tcp::socket& sink = to_target ? link->target : link->client;
    std::array<char, piece_bytes> bytes;
    while (true)
    {
        const auto [error, size] =
            co_await source.async_read_some(asio::buffer(bytes), quietly);
        if (error)
        {
            break;
        }
        const asio::const_buffer piece(bytes.data(), size);
        this->watch(piece);
        const bool open = co_await this->forward(*link, way, piece);
        if (!open)
        {
            co_return;
        }
    }
    if (link->silent || link->swallowed)
    {
        co_return;
    }
    boost::system::error_code ignored;
    sink.shutdown(asio::socket_base::shutdown_send, ignored);
}

void proxy_service::watch(asio::const_buffer piece)
{
    const std::string_view text(
        static_cast<const char*>(piece.data()), piece.size());
    const bool seen = !this->watched.empty() &&
                      text.find(this->watched) != std::string_view::npos;
    this->watched_seen += seen ? 1 : 0;
}

asio::awaitable<bool> proxy_service::forward(
    connection& link, direction way, asio::const_buffer piece)
{
    const bool to_client = way == direction::to_client;
    if (this->mode == proxy_mode::delay && !link.silent)
    {
        co_await sleep_for(this->delay);
    }
    if (link.silent)
    {
        this->bytes_discarded += piece.size();
        co_return true;
    }
    if (to_client && this->mode == proxy_mode::swallow_answer)
    {
        this->bytes_discarded += piece.size();
        co_await this->swallow(link);
        co_return false;
    }
    std::size_t size = piece.size();
    if (to_client && this->mode == proxy_mode::truncate)
    {
        size = this->take_allowance(link, size);
    }
    tcp::socket& sink = to_client ? link.client : link.target;
    const auto [error, written] =
        co_await asio::async_write(sink, asio::buffer(piece, size), quietly);
    (to_client ? this->bytes_to_client : this->bytes_to_target) += written;
    this->bytes_discarded += piece.size() - size;
    if (error)
    {
        link.close();
        co_return false;
    }
    if (size < piece.size())
    {
        this->cut_off(link);
        co_return link.silent;
    }
    co_return true;
}

void proxy_service::cut_off(connection& link) const
{
    switch (this->truncate_how)
    {
    case truncate_end::close:
        link.close();
        return;
    case truncate_end::reset:
        reset_socket(link.client);
        reset_socket(link.target);
        return;
    case truncate_end::silent:
        link.silent = true;
        return;
    }
}

asio::awaitable<void> proxy_service::swallow(connection& link)
{
    link.swallowed = true;
    close_socket(link.client);
    std::array<char, piece_bytes> bytes;
    asio::steady_timer idle(link.target.get_executor());
    while (true)
    {
        idle.expires_after(drain_idle_limit);
        idle.async_wait(
            [self = link.shared_from_this()](
                const boost::system::error_code& error)
            {
                if (!error)
                {
                    close_socket(self->target);
                }
            });
        const auto [error, size] =
            co_await link.target.async_read_some(asio::buffer(bytes), quietly);
        if (error)
        {
            co_return;
        }
        this->bytes_discarded += size;
    }
}

std::size_t
proxy_service::take_allowance(connection& link, std::size_t size) const
{
    if (link.counted_mode != this->mode_changes)
    {
        link.counted_mode = this->mode_changes;
        link.counted_bytes = 0;
    }
    const std::uint64_t left = this->truncate_after - link.counted_bytes;
    const std::size_t allowed =
        static_cast<std::size_t>(std::min<std::uint64_t>(left, size));
    link.counted_bytes += allowed;
    return allowed;
}

} // namespace roseworks::standins
