#include "adapters/relay/relay_server.hpp"

#include "adapters/relay/relay_handshake.hpp"
#include "adapters/relay/relayed_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <utility>
#include <vector>

namespace roseworks::relay
{

namespace asio = boost::asio;
using edge::tcp;
using edge::use_awaitable_tuple;

namespace
{

/// Pause after a failed accept. The usual cause is a lack of file descriptors.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

relay_server::relay_server(
    asio::any_io_executor loop,
    options chosen,
    edge::backend_context& shared,
    relayed_opener& connection_opener,
    std::function<serving_table_ptr()> newest_table,
    relay_watch& known)
    : executor(std::move(loop))
    , settings(chosen)
    , context(shared)
    , opener(connection_opener)
    , table(std::move(newest_table))
    , watch(known)
    , acceptor(this->executor)
{
}

relay_server::~relay_server() = default;

boost::system::error_code relay_server::listen(const tcp::endpoint& endpoint)
{
    boost::system::error_code error =
        edge::open_listener(this->acceptor, endpoint);
    if (!error)
        this->bound_endpoint = this->acceptor.local_endpoint(error);
    if (!error)
        asio::co_spawn(this->executor, this->accept(), asio::detached);
    return error;
}

void relay_server::stop()
{
    this->draining = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const std::vector<relayed_connection*> all(
        this->open_connections.begin(), this->open_connections.end());
    for (relayed_connection* one : all)
        one->reset();
}

asio::awaitable<void> relay_server::accept()
{
    asio::steady_timer pause(this->executor);
    while (this->acceptor.is_open())
    {
        auto [error, socket] =
            co_await this->acceptor.async_accept(use_awaitable_tuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
        {
            pause.expires_after(accept_pause);
            co_await pause.async_wait(use_awaitable_tuple);
            continue;
        }
        const std::size_t open_count =
            this->open_connections.size() + this->handshakes;
        const bool is_known = this->is_router(socket);
        if (!is_known || open_count >= this->settings.max_connections)
        {
            this->context.events.report(
                event_id::relay_refused,
                {{"reason", is_known ? "too many connections" : "not a router"},
                 {"open", open_count},
                 {"max", this->settings.max_connections}});
            continue;
        }
        asio::co_spawn(
            this->executor, this->serve(std::move(socket)), asio::detached);
    }
}

bool relay_server::is_router(const tcp::socket& socket) const
{
    boost::system::error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    return !error && this->routers.contains(remote.address());
}

asio::awaitable<void> relay_server::serve(tcp::socket socket)
{
    tls::secure_stream caller(std::move(socket));
    boost::system::error_code ignored;
    caller.socket().set_option(tcp::no_delay(true), ignored);
    ++this->handshakes;
    caller.expires_after(this->settings.request_timeout);
    const auto request = co_await read_request(caller);
    edge::backend_connection server(
        this->executor,
        request ? request->server : std::string(),
        0,
        this->context.now(),
        nullptr);
    relay_status status = relay_status::no_reply;
    if (request && request->test_only)
        status = co_await this->test(*request, server);
    else if (request)
        status = co_await this->connect(*request, server);
    else
        this->context.events.report(
            event_id::relay_refused,
            {{"reason", "no valid request in time"},
             {"open", this->open_connections.size()},
             {"max", this->settings.max_connections}});
    --this->handshakes;
    if (!request)
        co_return;
    const std::string reply =
        encode(relay_reply{static_cast<std::uint8_t>(status)});
    const auto [error, size] = co_await asio::async_write(
        caller, asio::buffer(reply), use_awaitable_tuple);
    if (error || status != relay_status::opened || request->test_only)
        co_return;
    caller.expires_never();
    edge::enable_dead_peer_detection(
        caller.socket(), this->context.options.tcp_user_timeout);
    relayed_connection relayed(
        caller.socket(), server.stream.socket(), request->server, this->watch);
    this->open_connections.insert(&relayed);
    co_await relayed.run();
    this->open_connections.erase(&relayed);
}

asio::awaitable<relay_status> relay_server::connect(
    const relay_request& request, edge::backend_connection& server)
{
    if (this->draining)
        co_return relay_status::busy;
    const serving_table_ptr current = this->table();
    if (!current || current->find_server(request.server) == nullptr)
        co_return relay_status::not_listed;
    if (!this->watch.rejection_for(request.server).empty())
        co_return relay_status::busy;
    if (!this->opener.tries_for_other(request.server))
        co_return this->opener.is_cut_off() ? relay_status::cut_off
                                            : relay_status::not_tried;
    const edge::connect_result result =
        co_await this->opener.open_for_other(server);
    server.stream.expires_never();
    switch (result)
    {
    case edge::connect_result::opened:
        co_return relay_status::opened;
    case edge::connect_result::refused:
        co_return relay_status::refused;
    case edge::connect_result::failed:
        break;
    }
    co_return relay_status::unreachable;
}

asio::awaitable<relay_status> relay_server::test(
    const relay_request& request, edge::backend_connection& server)
{
    const serving_table_ptr current = this->table();
    if (!current || current->find_server(request.server) == nullptr)
        co_return relay_status::not_listed;
    const edge::connect_result result =
        co_await this->opener.open_for_other(server);
    if (result == edge::connect_result::opened)
        co_return relay_status::opened;
    if (result != edge::connect_result::refused)
        co_return relay_status::unreachable;
    const bool is_credible =
        co_await this->reaches_another_server(request.server);
    co_return is_credible ? relay_status::refused : relay_status::cut_off;
}

asio::awaitable<bool> relay_server::reaches_another_server(std::string server)
{
    const serving_table_ptr current = this->table();
    const std::vector<std::string> others =
        current->servers_beside(server, this->settings.max_compared_servers);
    for (const std::string& other : others)
    {
        edge::backend_connection compared(
            this->executor, other, 0, this->context.now(), nullptr);
        const edge::connect_result result =
            co_await this->opener.open_for_other(compared);
        if (result == edge::connect_result::opened)
            co_return true;
    }
    co_return false;
}

} // namespace roseworks::relay
