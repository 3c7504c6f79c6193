#pragma once

#include "core/reach/relay_selector.hpp"
#include "ports/directory_port.hpp"

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace roseworks::app
{

/// The routers that open connections to backend servers for this one, and that
/// may ask this one to do so.
struct relay_routers
{
    std::vector<relay_router> routers;
    std::set<boost::asio::ip::address> addresses;
};

/// @param all  All routers of the deployment.
/// @param self Name of this router, which is left out.
/// @param port Port for other routers' connections, the same on all routers;
///             0: connections aren't relayed.
relay_routers find_relay_routers(
    std::span<const router_address> all,
    std::string_view self,
    std::uint16_t port);

} // namespace roseworks::app
