#pragma once

#include "adapters/edge/backend_connection.hpp"
#include "adapters/edge/backend_context.hpp"
#include "core/request/progress_estimator.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace roseworks::edge
{

/** One traffic thread's idle connections to backend servers, by address.

    A connection that has gone silent is told from a slow server thus: when a
    progress timer fires on a kept connection, the address is under suspicion,
    and only connections opened later are used. When one of them answers, all
    older ones are dropped; when one of them is silent too, the server is slow
    and the suspicion is lifted. A hint; belongs to its event loop.
*/
class backend_pool
{
public:
    backend_pool(asio::any_io_executor loop, backend_context& shared);

    /// @param longest_idle since its last exchange.
    /// @return An idle connection that is young, not suspect, and has nothing
    ///         to read; null when there is none.
    backend_connection_ptr
    take(const std::string& address, duration longest_idle);

    /// @return A connection that isn't connected yet.
    backend_connection_ptr make(const std::string& address);

    /// Keeps a connection whose exchange has ended cleanly.
    void put(backend_connection_ptr connection);

    /// A whole answer came on this connection.
    void answered(const backend_connection& connection);

    /// A progress timer ran out on this connection.
    void silent(const backend_connection& connection);

    /// Tells an engine to stop a stream, on a connection of its own; best
    /// effort, the answer doesn't matter.
    void cancel(const std::string& address, const std::string& request_id);

    /// Drops the idle connections which have become old or readable.
    void sweep();

    std::size_t idle() const;

    backend_context& context;
    progress_estimator progress; ///< what this thread learnt of first bytes
    const asio::any_io_executor executor;

private:
    struct peer
    {
        std::vector<backend_connection_ptr> idle;
        std::uint64_t suspect = 0; ///< serials up to this aren't used
        std::uint64_t dropped = 0; ///< serials up to this are dropped
    };

    bool usable(backend_connection& connection, const peer& at);

    std::unordered_map<std::string, peer> peers;
    std::uint64_t last_serial = 0;
};

} // namespace roseworks::edge
