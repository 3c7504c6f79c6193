#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/dispatcher.hpp>
#include <roseworks/routing_table.hpp>

#include <cstddef>
#include <functional>
#include <string_view>

namespace roseworks::app
{

class control_loop;

/// What the control loop tells the rest of the router. Called on the control
/// thread; must not block.
struct control_notices
{
    std::function<void(routing_table_ptr)> table_published;
    std::function<void(const load_report&)> load_reported;
    /// Null: nobody wants cache events, and none are read.
    std::function<void(const cache_report&)> cache_reported;
    /// So many routers are alive, this one included. Null: nobody asks.
    std::function<void(std::size_t)> routers_alive;
    std::function<void(std::string_view vm, bool leaving)> vm_leaving;
    /// A backend server was looked at after a connection to it broke.
    std::function<void(const crash_seen&, crash_finding)> crash_examined;
    std::function<void(const claim_result&)> claim_decided;
    /// This run of the controller ended; claims it held open get no result.
    std::function<void()> claims_dropped;
    /// The log is folded to the end that was known at the start.
    std::function<void()> caught_up;
    /// Called about once a second, for `/state` and `/metrics`.
    std::function<void(const control_loop&)> look;
    /// The session is over; whether its leave record is folded.
    std::function<void(bool clean)> left;
};

} // namespace roseworks::app
