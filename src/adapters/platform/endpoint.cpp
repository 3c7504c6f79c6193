#include "adapters/platform/endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace roseworks::platform
{

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {};

    std::string_view ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);

    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string(ip), error);
    if (error)
        return {};

    const std::string_view port = address.substr(colon + 1);
    std::uint16_t number = 0;
    const auto [end, port_error] =
        std::from_chars(port.data(), port.data() + port.size(), number);
    if (port_error != std::errc{} || end != port.data() + port.size())
        return {};
    return tcp::endpoint(parsed, number);
}

} // namespace roseworks::platform
