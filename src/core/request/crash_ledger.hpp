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

/** Finds the requests that crash the backend servers which run them.

    Load pattern: one request, sent again and again at any router, takes down a
    server at each try. A connection that breaks under a request is no proof:
    networks and overload break connections, too. It counts against the request
    once its server is seen to have gone or to have started anew soon after.
    Requests with crashes of several servers are blocked for a time. All routers
    tell each other of broken connections, so that the tries at one count at
    all. Hint.
*/
class crash_ledger
{
public:
    struct options
    {
        /// Servers that a request crashed before it is blocked. One could be
        /// chance: at a crash some dozen requests run there.
        std::size_t most_crashes = 2;
        /// From the break until the registry shows that the server is gone:
        /// three of its heartbeats, and its start.
        duration confirmation = std::chrono::seconds(8);
        duration remembered = std::chrono::seconds(60);
        std::size_t most_requests = 4096;
    };

    explicit crash_ledger(options settings);

    /// A connection broke under a request on a server.
    void broke(fingerprint request, std::string_view server, instant now);

    /// A server is gone, or another run of it answers.
    /// @return Whether a request is blocked now that wasn't.
    bool server_lost(std::string_view server, instant now);

    /// Forgets what is old.
    /// @return Whether a request isn't blocked any more.
    bool tick(instant now);

    const std::unordered_set<fingerprint>& blocked() const
    {
        return this->blocked_now;
    }

private:
    struct broken
    {
        fingerprint request;
        std::string server;
        instant when;
    };

    struct record
    {
        std::set<std::string> crashed;
        instant last;
    };

    options settings;
    std::deque<broken> unconfirmed; ///< oldest first
    std::unordered_map<fingerprint, record> records;
    std::unordered_set<fingerprint> blocked_now;
};

} // namespace roseworks
