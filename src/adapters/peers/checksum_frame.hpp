#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace roseworks::peers
{

/// Size of the checksum that precedes the content of a message.
inline constexpr std::size_t checksum_bytes = 8;

/// @return The content, preceded by its checksum.
std::string add_checksum(std::string_view content);

/// @return The content, or empty if the checksum doesn't match or there is no
///         content.
std::optional<std::string_view> remove_checksum(std::string_view frame);

/// @return The message as a cereal archive.
template <class Message>
std::string serialise(const Message& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return out.str();
}

} // namespace roseworks::peers
