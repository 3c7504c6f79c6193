#include "app/gateway/relay_routers.hpp"

#include "adapters/platform/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <sstream>

namespace roseworks::app
{

relay_routers find_relay_routers(
    std::span<const router_address> all,
    std::string_view self,
    std::uint16_t port)
{
    relay_routers result;
    if (port == 0)
        return result;
    for (const router_address& one : all)
    {
        const auto peers = platform::parse_endpoint(one.address);
        if (!peers || one.name == self)
            continue;
        std::ostringstream address;
        address << boost::asio::ip::tcp::endpoint(peers->address(), port);
        result.routers.push_back({one.name, address.str(), one.data_centre});
        result.addresses.insert(peers->address());
    }
    return result;
}

} // namespace roseworks::app
