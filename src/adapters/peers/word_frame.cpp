#include "adapters/peers/word_frame.hpp"

#include <xxhash.h>

#include <cstdint>
#include <cstring>

namespace roseworks::peers
{

namespace
{

std::uint64_t checksum(std::string_view content)
{
    constexpr std::uint64_t seed = 0x726F7365; // another protocol's don't pass
    return XXH64(content.data(), content.size(), seed);
}

} // namespace

std::string seal(std::string_view content)
{
    const std::uint64_t sum = checksum(content);
    std::string sealed(checksum_bytes, '\0');
    std::memcpy(sealed.data(), &sum, checksum_bytes);
    sealed.append(content);
    return sealed;
}

std::optional<std::string_view> unseal(std::string_view sealed)
{
    if (sealed.size() <= checksum_bytes)
        return std::nullopt;
    std::uint64_t sum = 0;
    std::memcpy(&sum, sealed.data(), checksum_bytes);
    const std::string_view content = sealed.substr(checksum_bytes);
    if (sum != checksum(content))
        return std::nullopt;
    return content;
}

} // namespace roseworks::peers
