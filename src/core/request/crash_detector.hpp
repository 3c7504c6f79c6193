#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace roseworks
{

/** Detects requests that crash the backend servers that run them.

    Load pattern: one request is sent again and again, to any router, and each
    attempt crashes a server. A broken connection alone is no proof, because
    networks and overload break connections as well. It counts against the
    request once its server is seen to be gone or restarted soon after. A
    request that crashed several servers is blocked for a time. The routers tell
    each other about broken connections, so that an attempt at one router counts
    at all of them.

    Advisory: an error here cannot break a guarantee.
*/
class crash_detector
{
public:
    struct options
    {
        /// A request that crashed this many servers is blocked. One crash
        /// proves little, because a few dozen requests run on a server when it
        /// crashes.
        std::size_t block_threshold = 2;
        /// A server that is lost within this time after a broken connection
        /// counts as crashed. Covers three heartbeats of the registry and the
        /// start of the server.
        duration confirmation_window = std::chrono::seconds(8);
        /// How long a request's crashes are remembered after the last one.
        duration crash_lifetime = std::chrono::seconds(60);
        std::size_t max_unconfirmed = 4096;
    };

    explicit crash_detector(options settings);

    /// Records that a connection to a server broke while it carried a request.
    void
    record_break(fingerprint request, std::string_view server, instant now);

    /// Records that a server is gone or was restarted.
    /// @return Whether a request became blocked.
    bool server_lost(std::string_view server, instant now);

    /// Removes expired records.
    /// @return Whether a request is no longer blocked.
    bool tick(instant now);

    const std::unordered_set<fingerprint>& blocked() const
    {
        return this->blocked_requests;
    }

private:
    struct broken_connection
    {
        fingerprint request;
        std::string server;
        instant broken_at;
    };

    struct crash_history
    {
        std::set<std::string> crashed_servers;
        instant last_crash;
    };

    options settings;
    std::deque<broken_connection> unconfirmed; ///< oldest first
    std::unordered_map<fingerprint, crash_history> histories;
    std::unordered_set<fingerprint> blocked_requests;
};

} // namespace roseworks
