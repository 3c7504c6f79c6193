#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <span>
#include <string>
#include <string_view>

namespace roseworks
{

/// A router's session, as recorded in the replicated state.
struct peer_session
{
    session_id session;
    std::string name;
    std::string data_centre;
    std::string address; ///< UDP ip:port
};

/// Receives messages from other routers, on the thread that runs the port. All
/// of them are hints.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// Another router has demand for a servable.
    virtual void demand_received(const servable_demand& demand) = 0;

    /// A caller used a servable at another router.
    virtual void visit_received(const caller_visit& visit) = 0;

    /// The sessions that are considered alive, including this router's.
    virtual void peers_alive(std::span<const session_id> alive) = 0;
};

/// Port: datagrams between routers.
class peer_port
{
public:
    virtual ~peer_port() = default;

    /// @return The UDP ip:port at which other routers reach this one.
    virtual std::string address() const = 0;

    virtual void start(peer_listener& listener) = 0;

    /** The sessions in the replicated state changed.

        @param self  This router's session; 0 until its join has been applied.
        @param peers All sessions that haven't ended, including this one.
    */
    virtual void
    sessions_changed(session_id self, std::span<const peer_session> peers) = 0;

    /// Sends this router's demand. Delivery isn't guaranteed.
    virtual void send_demand(
        session_id to,
        std::string_view peer_address,
        const servable_demand& demand) = 0;

    /// Reports that a caller used a servable here. Delivery isn't guaranteed.
    virtual void send_visit(
        session_id to,
        std::string_view peer_address,
        const caller_visit& visit) = 0;

    /// Stops probing. The listener isn't called after this.
    virtual void stop() = 0;
};

} // namespace roseworks
