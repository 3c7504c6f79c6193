#pragma once

#include <string>
#include <string_view>

namespace roseworks::relay
{

/** Port: what this router knows of a server counts for the requests that it
    relays, too, and their responses add to it. Called on the event loop of the
    relay.
*/
class relay_watch
{
public:
    virtual ~relay_watch() = default;

    /// @param server ip:port.
    /// @return Complete response to a request that this router may not send to
    ///         the server now; empty: it may send it.
    virtual std::string rejection_for(std::string_view server) const = 0;

    /// A server responded to a request of another router.
    /// @param head Status line and headers, with the empty line at their end.
    virtual void
    response_relayed(std::string_view server, std::string_view head) = 0;
};

} // namespace roseworks::relay
