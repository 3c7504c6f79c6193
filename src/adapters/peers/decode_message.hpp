#pragma once

#include "adapters/peers/checksum_frame.hpp"
#include "adapters/peers/message_archive.hpp"

#include <exception>
#include <optional>
#include <string_view>

namespace roseworks::peers
{

/// @param content A message as an archive.
/// @return        The message, or empty if the archive is malformed. The sender
///                then usually runs another version.
template <class Message>
std::optional<Message> decode_archive(std::string_view content)
{
    try
    {
        message_archive archive(content);
        Message message;
        archive(message);
        return message;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

/// @param frame A message with its checksum.
/// @return      The message, or empty if the frame is malformed.
template <class Message>
std::optional<Message> decode_message(std::string_view frame)
{
    const auto content = remove_checksum(frame);
    if (!content)
        return std::nullopt;
    return decode_archive<Message>(*content);
}

} // namespace roseworks::peers
