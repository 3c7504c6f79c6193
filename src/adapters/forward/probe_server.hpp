#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/edge/net.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/// The response to a probe.
struct probe_response
{
    unsigned status = 200;
    std::string body;
};

/** Serves the GET requests of a load balancer or a metrics collector.

    Runs on one event loop and has to outlive the last run of that loop.
*/
class probe_server
{
public:
    using handler = std::function<probe_response(std::string_view path)>;

    probe_server(
        edge::asio::any_io_executor loop,
        const clock_port& time,
        handler request_handler);

    /// Binds to the endpoint and starts to accept connections.
    /// @return The error; empty on success.
    edge::beast::error_code listen(const edge::tcp::endpoint& endpoint);

    void stop();

    /// @return The limits that callers meet here.
    receive_budget& limits()
    {
        return this->memory;
    }

private:
    edge::asio::awaitable<void> accept();
    edge::asio::awaitable<void> serve(edge::tcp::socket socket);
    edge::asio::awaitable<void> serve_requests(edge::tcp::socket socket);

    edge::asio::any_io_executor executor;
    const clock_port& clock;
    handler handle;
    edge::edge_options options;
    receive_budget memory;
    edge::tcp::acceptor acceptor;
    std::size_t open = 0; ///< connections
};

} // namespace roseworks::forward
