#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <span>
#include <string>
#include <string_view>

namespace roseworks
{

/// A router's session as the decided state knows it.
struct peer_session
{
    session_id session;
    std::string name;
    std::string data_centre;
    std::string address; ///< UDP ip:port
};

/// Receives what other routers say, on the thread that runs the port. All of
/// it is a hint.
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /// Another router wants a servable.
    virtual void demand_heard(const servable_demand& what) = 0;

    /// A caller used a servable at another router.
    virtual void visit_heard(const caller_visit& what) = 0;

    /// The sessions thought alive, this router's included.
    virtual void peers_alive(std::span<const session_id> alive) = 0;
};

/// Port: datagrams between routers.
class peer_port
{
public:
    virtual ~peer_port() = default;

    /// @return The bound UDP ip:port, as other routers reach it.
    virtual std::string address() const = 0;

    virtual void start(peer_listener& listener) = 0;

    /** The decided sessions changed.

        @param self  This router's session; 0 while its join isn't folded.
        @param peers All sessions that haven't ended, this one included.
    */
    virtual void
    sessions_changed(session_id self, std::span<const peer_session> peers) = 0;

    /// Sends this router's demand; it may be lost.
    virtual void send_demand(
        session_id to,
        std::string_view peer_address,
        const servable_demand& what) = 0;

    /// Tells of a caller's visit here; it may be lost.
    virtual void send_visit(
        session_id to,
        std::string_view peer_address,
        const caller_visit& what) = 0;

    /// Ends probing; nothing is called any more.
    virtual void stop() = 0;
};

} // namespace roseworks
