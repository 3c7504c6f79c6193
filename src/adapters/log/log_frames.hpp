#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::log_client
{

/// LEAF error object: the bytes aren't a sequence of consecutive entries.
struct log_frame_error
{
    std::string_view what;
    std::size_t position = 0; ///< byte offset of the invalid frame
};

/** Parses the response to a read: repeated frames of `u64` offset, `u32` length
    and the entry's bytes.

    Never reads beyond the input, whatever the lengths claim. Allocates at most
    the size of the input plus a fixed amount per entry.

    @param bytes The response body; untrusted.
    @param from  The requested offset. The first entry must have this offset,
                 and each further entry the next one.
    @return      The entries, or a `log_frame_error`.
*/
boost::leaf::result<std::vector<log_entry>>
parse_log_frames(std::string_view bytes, log_offset from);

/// @return The body of an append request: for each entry its `u32` length and
///         its bytes.
std::string encode_append(std::span<const std::vector<std::byte>> entries);

} // namespace roseworks::log_client
