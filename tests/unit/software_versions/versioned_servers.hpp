#pragma once

#include "fake_backend.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::forward::tests
{

using edge::tests::backend_peer;
using edge::tests::fake_backend;

/** Servers of several versions that stream `event_count` events. Each event
    names the version of the server that wrote it.

    The first requests, over all servers, break off after some events.
*/
class versioned_servers
{
public:
    static constexpr std::size_t event_count = 6;

    /// @param versions    Of each server.
    /// @param events_sent Of the first request, of the second, and so on,
    /// before
    ///                    the connection is closed; later ones get all events.
    versioned_servers(
        std::vector<std::string> versions,
        std::vector<std::size_t> events_sent);

    /// A request that arrived at a server.
    struct arrival
    {
        std::string version; ///< of the server
        std::string last_event;
        std::string resumes;
    };

    std::vector<arrival> arrivals() const;

    std::vector<fake_backend*> backends() const;

    const std::vector<std::string>& versions() const
    {
        return this->all_versions;
    }

private:
    void serve(backend_peer& peer, const std::string& version);
    void send_events(
        backend_peer& peer,
        const std::string& version,
        std::size_t first,
        std::size_t count);

    std::vector<std::string> all_versions;
    std::vector<std::size_t> limits;
    mutable std::mutex mutex;
    std::vector<arrival> received;
    std::vector<std::unique_ptr<fake_backend>> servers;
};

/// @return The versions that wrote the events of a body, in order, without
///         repetitions in a row.
std::vector<std::string> versions_in(std::string_view body);

} // namespace roseworks::forward::tests
