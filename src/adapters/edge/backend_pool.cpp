#include "adapters/edge/backend_pool.hpp"

#include "adapters/edge/engine_cancel.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::edge
{

backend_pool::backend_pool(asio::any_io_executor loop, backend_context& shared)
    : context(shared)
    , executor(std::move(loop))
{
}

backend_connection_ptr
backend_pool::acquire(const std::string& address, duration longest_idle)
{
    const auto found = this->peers.find(address);
    if (found == this->peers.end())
        return nullptr;
    auto& idle = found->second.idle;
    while (!idle.empty())
    {
        backend_connection_ptr connection = std::move(idle.back());
        idle.pop_back();
        const duration unused = this->context.now() - connection->last_used;
        if (unused <= longest_idle &&
            this->is_usable(*connection, found->second))
            return connection;
    }
    return nullptr;
}

backend_connection_ptr backend_pool::make(const std::string& address)
{
    return std::make_unique<backend_connection>(
        this->executor,
        address,
        ++this->last_serial,
        this->context.now(),
        this->context.backend_tls);
}

bool backend_pool::is_usable(
    backend_connection& connection, const peer& peer_state)
{
    const instant now = this->context.now();
    if (now - connection.opened > this->context.options.connection_max_age)
        return false;
    if (now - connection.last_used > this->context.options.connection_max_idle)
        return false;
    if (connection.serial <=
        std::max(peer_state.suspect_up_to, peer_state.dropped_up_to))
        return false;
    const tls::idle_state state = connection.stream.check_idle();
    if (state == tls::idle_state::has_data)
    {
        this->context.observer.late_answer_dropped();
        this->context.events.report(
            event_id::late_answer_dropped, {{"engine", connection.address}});
    }
    return state == tls::idle_state::no_data;
}

void backend_pool::add_idle(backend_connection_ptr connection)
{
    peer& peer_state = this->peers[connection->address];
    connection->last_used = this->context.now();
    const bool full =
        peer_state.idle.size() >= this->context.options.max_idle_connections;
    if (full || connection->buffer.size() != 0 ||
        !this->is_usable(*connection, peer_state))
        return;
    connection->buffer.shrink_to_fit();
    connection->pooled = true;
    peer_state.idle.push_back(std::move(connection));
}

void backend_pool::record_response(const backend_connection& connection)
{
    const auto found = this->peers.find(connection.address);
    if (found == this->peers.end())
        return;
    peer& peer_state = found->second;
    if (peer_state.suspect_up_to == 0 ||
        connection.serial <= peer_state.suspect_up_to)
        return;
    peer_state.dropped_up_to =
        std::max(peer_state.dropped_up_to, peer_state.suspect_up_to);
    peer_state.suspect_up_to = 0;
    std::erase_if(
        peer_state.idle,
        [&peer_state](const backend_connection_ptr& kept)
        {
            return kept->serial <= peer_state.dropped_up_to;
        });
    this->context.observer.connection_silent(connection.address);
    this->context.events.report(
        event_id::connection_silent, {{"address", connection.address}});
}

void backend_pool::record_silence(const backend_connection& connection)
{
    peer& peer_state = this->peers[connection.address];
    if (connection.pooled)
        peer_state.suspect_up_to =
            std::max(peer_state.suspect_up_to, connection.serial);
    else if (connection.serial > peer_state.suspect_up_to)
        peer_state.suspect_up_to = 0;
}

void backend_pool::cancel(
    const std::string& address, const std::string& request_id)
{
    asio::co_spawn(
        this->executor,
        send_cancel(this->make(address), request_id, this->context.options),
        asio::detached);
}

void backend_pool::sweep()
{
    for (auto& entry : this->peers)
    {
        peer& peer_state = entry.second;
        std::erase_if(
            peer_state.idle,
            [&](const backend_connection_ptr& kept)
            {
                return !this->is_usable(*kept, peer_state);
            });
    }
    std::erase_if(
        this->peers,
        [](const auto& entry)
        {
            const peer& peer_state = entry.second;
            return peer_state.idle.empty() && peer_state.suspect_up_to == 0 &&
                   peer_state.dropped_up_to == 0;
        });
}

std::size_t backend_pool::idle() const
{
    std::size_t total = 0;
    for (const auto& [address, peer_state] : this->peers)
        total += peer_state.idle.size();
    return total;
}

} // namespace roseworks::edge
