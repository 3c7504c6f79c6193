#pragma once

#include "adapters/edge/backend_pool.hpp"
#include "adapters/edge/caller_session.hpp"
#include "adapters/edge/edge_context.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_set>

namespace roseworks::edge
{

/// Counts a caller's connection for as long as it lives.
class connection_count;

/// What one traffic thread holds: its callers and its connections to backend
/// servers. All functions but `start` and `serve` run on its event loop.
class traffic_thread : public std::enable_shared_from_this<traffic_thread>
{
public:
    traffic_thread(
        asio::any_io_executor loop, std::shared_ptr<edge_context> shared);

    /// Starts what runs beside the callers.
    void start();

    /// Serves an accepted connection, counted from now on. Thread-safe.
    void serve(tcp::socket socket);

    /// Closes idle callers; the others' next answer closes them.
    void start_drain();

    /// Ends all calls with an explicit error.
    void force_end();

    /// Stops what `start` has started.
    void stop();

    const asio::any_io_executor executor;

private:
    asio::awaitable<void>
    run_session(tcp::socket socket, std::shared_ptr<connection_count> count);
    asio::awaitable<void> sweep();

    std::shared_ptr<edge_context> context;
    backend_pool pool;
    std::unordered_set<caller_session*> sessions;
    asio::steady_timer sweep_timer;
    bool stopped = false;
};

} // namespace roseworks::edge
