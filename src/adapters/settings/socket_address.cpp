#include "adapters/settings/socket_address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace roseworks::settings
{

namespace
{

std::optional<std::string> canonical_ip(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    if (::inet_pton(family, text.c_str(), bytes.data()) != 1)
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> buffer{};
    if (!::inet_ntop(family, bytes.data(), buffer.data(), buffer.size()))
        return std::nullopt;
    return std::string(buffer.data());
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<socket_address> socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parse_port(text.substr(colon + 1));
    if (!port)
        return std::nullopt;

    std::string_view host = text.substr(0, colon);
    int family = AF_INET;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    // inet_pton would stop at a zero byte and ignore the rest.
    if (host.find('\0') != std::string_view::npos)
        return std::nullopt;
    auto ip = canonical_ip(family, std::string(host));
    if (!ip)
        return std::nullopt;
    return socket_address{std::move(*ip), *port};
}

std::string socket_address::to_string() const
{
    const bool is_ipv6 = this->ip.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? '[' + this->ip + ']' : this->ip;
    return host + ':' + std::to_string(this->port);
}

} // namespace roseworks::settings
