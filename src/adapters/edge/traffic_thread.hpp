#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/caller_session.hpp"
#include "adapters/edge/edge_context.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_set>

namespace roseworks::edge
{

/// Counts a caller connection for its lifetime (RAII).
class connection_count;

/// The state of one traffic thread: its caller sessions and its connections to
/// backend servers. All functions except `start` and `serve` must run on its
/// event loop.
class traffic_thread : public std::enable_shared_from_this<traffic_thread>
{
public:
    /// @param memory For the requests of its callers, in bytes.
    traffic_thread(
        asio::any_io_executor loop,
        std::shared_ptr<edge_context> shared,
        std::size_t memory);

    /// Starts the periodic sweep of the connection pool.
    void start();

    /// Counts an accepted connection and serves it. Thread-safe.
    void serve(tcp::socket socket);

    /// Closes idle connections; the others close after their next response.
    void start_drain();

    /// Ends all calls with an explicit error.
    void force_end();

    /// Stops the sweep.
    void stop();

    const asio::any_io_executor executor;

private:
    asio::awaitable<void>
    run_session(tcp::socket socket, std::shared_ptr<connection_count> count);
    asio::awaitable<void> sweep();

    std::shared_ptr<edge_context> context;
    backend_pool pool;
    receive_budget memory;
    std::unordered_set<caller_session*> sessions;
    asio::steady_timer sweep_timer;
    bool stopped = false;
};

} // namespace roseworks::edge
