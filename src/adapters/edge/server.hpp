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

/** The router's edge: takes callers' requests and answers each.

    Runs on the traffic threads' event loops, one thread each; accepted
    connections are dealt to them in turn. The loops are run by the owner. To
    shut down: `drain`, stop the loops and join their threads, destroy the
    server, destroy the loops, destroy the dependencies.
*/
class server
{
public:
    /// @param settings     limits and timeouts.
    /// @param dependencies what the edge works with.
    /// @param loops        the traffic threads' event loops, at least one.
    server(
        edge_options settings,
        edge_dependencies dependencies,
        std::vector<asio::any_io_executor> loops);
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Listens and accepts from now on; once, before the loops run or from
    /// outside them.
    /// @param endpoint where to listen; port 0 picks a free one.
    /// @return         the bound endpoint; `boost::system::error_code`.
    boost::leaf::result<tcp::endpoint> listen(const tcp::endpoint& endpoint);

    /// Shuts down gracefully, once: takes the connections that wait, stops
    /// accepting, tells admission to refuse what waits, closes idle
    /// connections, and lets running requests finish. At the limit the rest
    /// is ended with an explicit error. Thread-safe.
    /// @param limit how long running requests may take.
    /// @param done  called on the first event loop when no connection is left
    ///              or the limit has passed, with the number of connections
    ///              that were open at the limit.
    void drain(duration limit, std::function<void(std::size_t)> done);

    /// Stops accepting and the edge's own timers, without waiting for
    /// requests. Thread-safe.
    void stop();

    bool draining() const;

    /// @return Open callers' connections.
    std::size_t connections() const;

private:
    class impl;
    std::shared_ptr<impl> self;
};

} // namespace roseworks::edge
