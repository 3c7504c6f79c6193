#include "standins/engine/hex.hpp"

#include <xxhash.h>

#include <cstdint>

namespace roseworks::standins
{

std::string hash_hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr std::uint64_t digit_mask = 15;
    std::uint64_t hash = XXH64(text.data(), text.size(), 0);
    std::string result(sizeof(hash) * 2, '0');
    for (auto digit = result.rbegin(); digit != result.rend(); ++digit)
    {
        *digit = digits[hash & digit_mask];
        hash >>= bits_per_digit;
    }
    return result;
}

} // namespace roseworks::standins
