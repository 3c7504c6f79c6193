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

/// LEAF error object: bytes that aren't a run of consecutive entries.
struct log_frame_error
{
    std::string_view what;
    std::size_t position = 0; ///< byte at which the bad frame starts
};

/** Parse the answer to a read: `u64` offset, `u32` length, bytes, repeated.

    Never reads beyond the bytes, whatever the lengths claim, and holds no
    more memory than the bytes plus a fixed amount an entry.

    @param bytes What was read; may be hostile.
    @param from  The offset that was asked for; the first entry has to bear it
                 and each further one the next.
    @return      The entries, or a `log_frame_error`.
*/
boost::leaf::result<std::vector<log_entry>>
parse_log_frames(std::string_view bytes, log_offset from);

/// @return The body of an append: `u32` length and bytes of each entry.
std::string encode_append(std::span<const std::vector<std::byte>> entries);

} // namespace roseworks::log_client
