#pragma once

#include "adapters/edge/backend_connection.hpp"
#include "adapters/edge/net.hpp"

#include <roseworks/instant.hpp>

namespace roseworks::edge
{

/// Port: opens connections to backend servers. Used on the traffic thread.
class connection_opener
{
public:
    virtual ~connection_opener() = default;

    /// Opens a connection to `connection.address`.
    /// @param limit Time limit, above zero.
    virtual asio::awaitable<connect_result>
    open(backend_connection& connection, duration limit) = 0;
};

} // namespace roseworks::edge
