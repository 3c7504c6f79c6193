#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace roseworks
{

/// What other routers found out about a backend server.
enum class reach_opinion : std::uint8_t
{
    unknown, ///< none could tell
    reached, ///< another router has just opened a connection to it
    refused  ///< it refuses other routers too, which reach other servers
};

/** Port: asks other routers whether they reach a backend server.

    What one router can't reach isn't gone: the network may be cut between the
    two. Used on the control thread.
*/
class reach_opinion_port
{
public:
    using handler = std::function<void(reach_opinion)>;

    virtual ~reach_opinion_port() = default;

    /// @param server  ip:port.
    /// @param on_done Called later on the control thread; not after `stop`.
    virtual void ask(const std::string& server, handler on_done) = 0;

    virtual void stop() = 0;
};

} // namespace roseworks
