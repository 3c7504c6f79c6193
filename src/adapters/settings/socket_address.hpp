#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::settings
{

/// An IP address and a port. Host names are not supported.
struct socket_address
{
    /// The address as `inet_ntop` formats it, without brackets.
    std::string ip;
    std::uint16_t port = 0;

    /// Parses text such as `127.0.0.1:7000` or `[::1]:7000`.
    /// @return empty for anything else, including host names.
    static std::optional<socket_address> parse(std::string_view text);

    /// @return the address in the form that `parse` accepts.
    std::string to_string() const;

    auto operator<=>(const socket_address&) const = default;
};

} // namespace roseworks::settings
