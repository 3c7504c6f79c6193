#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::settings
{

/// An IP number and a port. Never a host name.
struct socket_address
{
    /// As `inet_ntop` writes it, without brackets.
    std::string ip;
    std::uint16_t port = 0;

    /// Reads `127.0.0.1:7000` or `[::1]:7000`.
    /// @return empty when it is anything else, a host name included.
    static std::optional<socket_address> parse(std::string_view text);

    /// @return the text that `parse` reads back.
    std::string to_string() const;

    auto operator<=>(const socket_address&) const = default;
};

} // namespace roseworks::settings
