#include "adapters/log/log_frames.hpp"

#include <boost/endian/conversion.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::log_client;

namespace
{

namespace leaf = boost::leaf;

std::string frame(std::uint64_t offset, std::string_view bytes)
{
    unsigned char header[12];
    boost::endian::store_little_u64(header, offset);
    boost::endian::store_little_u32(
        header + 8, static_cast<std::uint32_t>(bytes.size()));
    return std::string(reinterpret_cast<char*>(header), sizeof(header)) +
           std::string(bytes);
}

/// @return The number of entries, or the error text and its position.
std::string parse_outcome(std::string_view bytes, std::uint64_t from)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(entries, parse_log_frames(bytes, log_offset(from)));
            return std::to_string(entries.size());
        },
        [](const log_frame_error& error)
        {
            return std::string(error.what) + " at " +
                   std::to_string(error.position);
        },
        []
        {
            return std::string("another error");
        });
}

void expect(std::string_view bytes, std::uint64_t from, const char* expected)
{
    const std::string actual = parse_outcome(bytes, from);
    cr_expect(
        actual == expected, "got %s, expected %s", actual.c_str(), expected);
}

} // namespace

Test(log_frames, reads_consecutive_entries)
{
    expect("", 1, "0");
    expect(frame(7, "abc") + frame(8, "") + frame(9, "d"), 7, "3");
}

Test(log_frames, returns_the_bytes_unchanged)
{
    const std::string bytes = frame(3, std::string("\0\xff", 2));
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(entries, parse_log_frames(bytes, log_offset(3)));
            cr_assert(entries.size() == 1);
            cr_expect(entries[0].offset == log_offset(3));
            const std::vector<std::byte> expected{
                std::byte{0}, std::byte{0xff}};
            cr_expect(entries[0].bytes == expected);
            return {};
        },
        []
        {
            cr_expect(false);
        });
}

Test(log_frames, rejects_offsets_that_are_missing_or_repeated)
{
    expect(frame(8, "a"), 7, "unexpected offset at 0");
    expect(frame(7, "a") + frame(9, "b"), 7, "unexpected offset at 13");
    expect(frame(7, "a") + frame(7, "b"), 7, "unexpected offset at 13");
    expect(frame(0, "a"), 0, "unexpected offset at 0");
}

Test(log_frames, rejects_every_truncation_within_a_frame)
{
    const std::string whole = frame(1, "abc") + frame(2, "de");
    for (std::size_t length = 1; length < whole.size(); ++length)
    {
        const bool between_frames = length == frame(1, "abc").size();
        const std::string actual =
            parse_outcome(std::string_view(whole).substr(0, length), 1);
        if (between_frames)
            cr_expect(actual == "1");
        else
            cr_expect(actual.find("truncated") != std::string::npos);
    }
}

Test(log_frames, rejects_a_length_beyond_the_input)
{
    std::string bytes = frame(1, "abc");
    for (std::size_t position = 8; position < 12; ++position)
        bytes[position] = '\xff';
    expect(bytes, 1, "truncated entry at 0");
}

Test(log_frames, encodes_an_append_with_lengths)
{
    const std::vector<std::vector<std::byte>> entries{
        {std::byte{'a'}, std::byte{'b'}}, {}};
    const std::string expected("\2\0\0\0ab\0\0\0\0", 10);
    cr_expect(encode_append(entries) == expected);
}
