#include "adapters/peers/checksum_frame.hpp"

#include <xxhash.h>

#include <cstdint>
#include <cstring>

namespace roseworks::peers
{

namespace
{

std::uint64_t checksum(std::string_view content)
{
    // A seed of its own rejects frames of other protocols.
    constexpr std::uint64_t seed = 0x726F7365;
    return XXH64(content.data(), content.size(), seed);
}

} // namespace

std::string add_checksum(std::string_view content)
{
    const std::uint64_t sum = checksum(content);
    std::string frame(checksum_bytes, '\0');
    std::memcpy(frame.data(), &sum, checksum_bytes);
    frame.append(content);
    return frame;
}

std::optional<std::string_view> remove_checksum(std::string_view frame)
{
    if (frame.size() <= checksum_bytes)
        return std::nullopt;
    std::uint64_t sum = 0;
    std::memcpy(&sum, frame.data(), checksum_bytes);
    const std::string_view content = frame.substr(checksum_bytes);
    if (sum != checksum(content))
        return std::nullopt;
    return content;
}

} // namespace roseworks::peers
