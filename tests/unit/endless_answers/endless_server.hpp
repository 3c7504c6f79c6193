#pragma once

#include "fake_backend.hpp"

#include <atomic>
#include <cstddef>
#include <string>

namespace roseworks::forward::tests
{

/// What a server sends on each connection.
struct endless_bytes
{
    std::string first;  ///< before the bytes that don't end
    std::string repeat; ///< sent until the router closes the connection
};

/** A server whose answers don't end until the router closes the connection.

    Stops after `max_bytes`, so that a test without a bound ends too. */
class endless_server
{
public:
    static constexpr std::size_t max_bytes = std::size_t(96) << 20;

    /// @param answers_before Complete answers before the one without an end.
    explicit endless_server(endless_bytes what, int answers_before = 0);

    std::string address() const
    {
        return this->server.address();
    }

    edge::tests::fake_backend& backend()
    {
        return this->server;
    }

    /// @return Bytes that the router has taken, over all connections.
    std::size_t sent() const
    {
        return this->bytes_sent;
    }

    int requests() const
    {
        return this->received;
    }

private:
    void serve(edge::tests::backend_peer& peer);

    endless_bytes content;
    int complete_answers;
    std::atomic<std::size_t> bytes_sent{0};
    std::atomic<int> received{0};
    edge::tests::fake_backend server;
};

} // namespace roseworks::forward::tests
