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

    /// Opens a connection to `connection.address`. Stops when the connection is
    /// abandoned and its stream closed.
    /// @param limit Time limit, above zero.
    virtual asio::awaitable<connect_result>
    open(backend_connection& connection, duration limit) = 0;

    /// @return Whether a connection that was kept open may carry another
    ///         request.
    virtual bool may_reuse(const backend_connection& connection) const = 0;
};

} // namespace roseworks::edge
