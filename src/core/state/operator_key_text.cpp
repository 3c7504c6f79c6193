#include <roseworks/operator_key.hpp>

#include <charconv>

namespace roseworks
{

namespace
{

constexpr int hexadecimal = 16;
constexpr std::string_view digits = "0123456789abcdef";

} // namespace

std::optional<operator_key>
parse_operator_key(std::string_view number, std::string_view hex)
{
    operator_key key;
    const char* const end = number.data() + number.size();
    const auto [rest, failure] =
        std::from_chars(number.data(), end, key.number);
    const auto bytes = parse_key_hex(hex);
    if (failure != std::errc() || rest != end || key.number == 0 || !bytes)
        return std::nullopt;
    key.bytes = *bytes;
    return key;
}

std::string key_hex(std::span<const std::byte> bytes)
{
    std::string text;
    for (const std::byte byte : bytes)
    {
        const auto value = std::to_integer<std::size_t>(byte);
        text += digits[value / hexadecimal];
        text += digits[value % hexadecimal];
    }
    return text;
}

std::optional<std::array<std::byte, operator_key_bytes>>
parse_key_hex(std::string_view hex)
{
    std::array<std::byte, operator_key_bytes> bytes{};
    if (hex.size() != 2 * bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        std::uint8_t value = 0;
        const char* const first = hex.data() + 2 * i;
        const auto [rest, failure] =
            std::from_chars(first, first + 2, value, hexadecimal);
        if (failure != std::errc() || rest != first + 2)
            return std::nullopt;
        bytes[i] = std::byte(value);
    }
    return bytes;
}

} // namespace roseworks
