#pragma once

#include "adapters/edge/backend_context.hpp"
#include "adapters/edge/net.hpp"
#include "adapters/relay/relay_messages.hpp"
#include "adapters/relay/relay_watch.hpp"
#include "adapters/relay/relayed_opener.hpp"
#include "adapters/tls/secure_stream.hpp"
#include "core/serving/serving_table.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <unordered_set>

namespace roseworks::relay
{

class relayed_connection;

/** Opens connections to backend servers for other routers, and copies the bytes
    of these connections both ways.

    Accepts only connections from the addresses of known routers, and connects
    only to servers that are registered at that moment. Used on the traffic
    thread. Has to outlive the last run of the event loop.
*/
class relay_server
{
public:
    struct options
    {
        /// Maximum number of connections that are relayed at the same time.
        /// Each occupies two file descriptors and two buffers.
        std::size_t max_connections = 512;
        /// Time for another router to send its request.
        std::chrono::milliseconds request_timeout{1000};
        /// Maximum number of other servers to which a connection is opened, to
        /// show that a refusal comes from the server and not from the network.
        std::size_t max_compared_servers = 2;
    };

    /// @param table Newest serving table; null: none yet.
    /// @param watch Must outlive the event loop.
    relay_server(
        edge::asio::any_io_executor loop,
        options settings,
        edge::backend_context& shared,
        relayed_opener& opener,
        std::function<serving_table_ptr()> table,
        relay_watch& watch);
    ~relay_server();

    /// Binds to the endpoint and starts to accept connections.
    /// @return The error; empty on success.
    boost::system::error_code listen(const edge::tcp::endpoint& endpoint);

    /// @param all Addresses of all other routers.
    void set_routers(std::set<edge::asio::ip::address> all)
    {
        this->routers = std::move(all);
    }

    /// Refuses further connections. Open ones continue.
    void start_drain()
    {
        this->draining = true;
    }

    /// Stops accepting, and resets all open connections.
    void stop();

    std::size_t connections() const
    {
        return this->open_connections.size();
    }

    edge::tcp::endpoint local_endpoint() const
    {
        return this->bound_endpoint;
    }

private:
    edge::asio::awaitable<void> accept();
    edge::asio::awaitable<void> serve(edge::tcp::socket socket);
    edge::asio::awaitable<relay_status>
    connect(const relay_request& request, edge::backend_connection& server);
    /// Tests a server for another router.
    edge::asio::awaitable<relay_status>
    test(const relay_request& request, edge::backend_connection& server);
    /// @return Whether another server of the same service accepts a connection.
    edge::asio::awaitable<bool> reaches_another_server(std::string server);
    bool is_router(const edge::tcp::socket& socket) const;

    edge::asio::any_io_executor executor;
    options settings;
    edge::backend_context& context;
    relayed_opener& opener;
    std::function<serving_table_ptr()> table;
    relay_watch& watch;
    edge::tcp::acceptor acceptor;
    edge::tcp::endpoint bound_endpoint;
    std::set<edge::asio::ip::address> routers;
    std::unordered_set<relayed_connection*> open_connections;
    std::size_t handshakes = 0;
    bool draining = false;
};

} // namespace roseworks::relay
