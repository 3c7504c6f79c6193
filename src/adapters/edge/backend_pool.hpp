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

/** The idle connections of one traffic thread to backend servers, by address.

    The pool distinguishes silent connections from a slow server. When a
    progress timer expires on a reused connection, all connections to the
    address that are open at that time become suspect, and only newer ones are
    used. If a newer one delivers a response, the suspect ones are dropped. If
    it is silent too, the server is slow and the suspicion is cleared. This is a
    heuristic; no guarantee depends on it.

    Not thread-safe: use it on its event loop only.
*/
class backend_pool
{
public:
    backend_pool(asio::any_io_executor loop, backend_context& shared);

    /// @param longest_idle Maximum time since the last exchange.
    /// @return             An idle connection that is within the age limits,
    ///                     is not suspect and has nothing to read; null if
    ///                     there is none.
    backend_connection_ptr
    acquire(const std::string& address, duration longest_idle);

    /// @return A new connection object; call `connect` on it before use.
    backend_connection_ptr make(const std::string& address);

    /// Returns a connection to the pool after an exchange that ended cleanly.
    void add_idle(backend_connection_ptr connection);

    /// Records that a response header or the answer to a cancel has arrived on
    /// this connection.
    void record_response(const backend_connection& connection);

    /// Records that a progress timer has expired on this connection.
    void record_silence(const backend_connection& connection);

    /// Tells an engine to stop the run of a request, on a separate connection.
    /// Best effort: the answer is ignored.
    void cancel(const std::string& address, const std::string& request_id);

    /// Drops the idle connections that can no longer be used, such as those
    /// that are too old or readable.
    void sweep();

    std::size_t idle() const;

    backend_context& context;
    progress_estimator progress; ///< first-byte estimates of this thread
    const asio::any_io_executor executor;

private:
    struct peer
    {
        std::vector<backend_connection_ptr> idle;
        std::uint64_t suspect_up_to = 0; ///< serials up to this are not used
        std::uint64_t dropped_up_to = 0; ///< serials up to this are dropped
    };

    bool is_usable(backend_connection& connection, const peer& peer_state);

    std::unordered_map<std::string, peer> peers;
    std::uint64_t last_serial = 0;
};

} // namespace roseworks::edge
