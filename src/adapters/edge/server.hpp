#pragma once

#include "adapters/edge/edge_context.hpp"
#include "adapters/edge/net.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/leaf/result.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace roseworks::edge
{

/** The HTTP server of the router: accepts requests of callers and responds.

    Runs on the event loops of the traffic threads, one thread per loop.
    Accepted connections are assigned to the loops round robin. The owner runs
    the loops. To shut down: call `drain`, stop the loops and join their
    threads, then destroy the server, the loops and the dependencies in this
    order.
*/
class server
{
public:
    /// @param settings     Limits and timeouts.
    /// @param dependencies Ports and callbacks.
    /// @param loops        Event loops of the traffic threads, at least one.
    server(
        edge_options settings,
        edge_dependencies dependencies,
        std::vector<asio::any_io_executor> loops);
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts to listen and to accept connections. Call it once, either before
    /// the loops run or from a thread that runs none of them.
    /// @param endpoint Where to listen; port 0 selects a free port.
    /// @return         The bound endpoint; `boost::system::error_code`.
    boost::leaf::result<tcp::endpoint> listen(const tcp::endpoint& endpoint);

    /// Shuts down gracefully: accepts the connections in the backlog, stops
    /// accepting, makes the dispatcher refuse queued requests, closes idle
    /// connections, and lets running requests finish. Requests that still run
    /// at the limit end with an explicit error. Call it once. Thread-safe.
    /// @param limit Time limit for running requests.
    /// @param done  Called on the first event loop when all connections are
    ///              closed, or about 1 s after the limit at the latest. Its
    ///              argument is the number of connections that were open at
    ///              the limit.
    void drain(duration limit, std::function<void(std::size_t)> done);

    /// Stops accepting connections and stops the sweep timers, without waiting
    /// for requests. Thread-safe.
    void stop();

    bool draining() const;

    /// @return Number of open caller connections.
    std::size_t connections() const;

private:
    class impl;
    std::shared_ptr<impl> self;
};

} // namespace roseworks::edge
