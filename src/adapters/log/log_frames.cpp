#include "adapters/log/log_frames.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstdint>

namespace roseworks::log_client
{

namespace leaf = boost::leaf;
namespace endian = boost::endian;

namespace
{

constexpr std::size_t offset_bytes = sizeof(std::uint64_t);
constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr std::size_t header_bytes = offset_bytes + length_bytes;

const unsigned char* as_unsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

std::vector<std::byte> to_bytes(std::string_view bytes)
{
    std::vector<std::byte> copy(bytes.size());
    std::transform(
        bytes.begin(),
        bytes.end(),
        copy.begin(),
        [](char character)
        {
            return static_cast<std::byte>(
                static_cast<unsigned char>(character));
        });
    return copy;
}

} // namespace

leaf::result<std::vector<log_entry>>
parse_log_frames(std::string_view bytes, log_offset from)
{
    std::vector<log_entry> entries;
    std::uint64_t expected = from.value;
    std::size_t position = 0;
    while (position < bytes.size())
    {
        const std::string_view remaining = bytes.substr(position);
        if (remaining.size() < header_bytes)
            return leaf::new_error(
                log_frame_error{"truncated header", position});

        const auto offset = endian::load_little_u64(as_unsigned(remaining));
        if (offset != expected || offset == 0)
            return leaf::new_error(
                log_frame_error{"unexpected offset", position});

        const auto length =
            endian::load_little_u32(as_unsigned(remaining) + offset_bytes);
        if (remaining.size() - header_bytes < length)
            return leaf::new_error(
                log_frame_error{"truncated entry", position});

        entries.push_back(
            {log_offset(offset),
             to_bytes(remaining.substr(header_bytes, length))});
        position += header_bytes + length;
        ++expected;
    }
    return entries;
}

std::string encode_append(std::span<const std::vector<std::byte>> entries)
{
    std::string body;
    for (const std::vector<std::byte>& entry : entries)
    {
        unsigned char length[length_bytes];
        endian::store_little_u32(
            length, static_cast<std::uint32_t>(entry.size()));
        body.append(reinterpret_cast<const char*>(length), length_bytes);
        body.append(reinterpret_cast<const char*>(entry.data()), entry.size());
    }
    return body;
}

} // namespace roseworks::log_client
