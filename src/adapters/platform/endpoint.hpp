#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace roseworks::platform
{

/// @return The endpoint of an `ip:port` text, or empty if the text is invalid.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view address);

} // namespace roseworks::platform
