#pragma once

#include <cstdint>
#include <string>

namespace roseworks
{

/// @return 16 hexadecimal digits.
inline std::string to_hex(std::uint64_t value)
{
    constexpr char digits[] = "0123456789abcdef";
    constexpr int digit_bits = 4;
    constexpr int last_digit = 15;
    std::string text(last_digit + 1, '0');
    for (int at = last_digit; at >= 0; --at)
    {
        text[static_cast<std::size_t>(at)] = digits[value & 0xF];
        value >>= digit_bits;
    }
    return text;
}

} // namespace roseworks
