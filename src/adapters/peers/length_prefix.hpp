#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace roseworks::peers
{

/// Size of the length that precedes a message on a TCP connection.
inline constexpr std::size_t length_bytes = 4;

/// @return The content, preceded by its length, most significant byte first.
inline std::string add_length_prefix(std::string_view content)
{
    constexpr unsigned bits_per_byte = 8;
    std::string framed;
    for (std::size_t i = length_bytes; i > 0; --i)
        framed += static_cast<char>(
            content.size() >> ((i - 1) * bits_per_byte) & 0xFF);
    framed += content;
    return framed;
}

/// @return The length that the prefix states.
inline std::size_t decode_length(const std::array<char, length_bytes>& bytes)
{
    constexpr unsigned bits_per_byte = 8;
    std::size_t length = 0;
    for (const char byte : bytes)
        length = length << bits_per_byte | static_cast<unsigned char>(byte);
    return length;
}

} // namespace roseworks::peers
