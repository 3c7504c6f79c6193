#pragma once

#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace roseworks
{

/// LEAF error object: bytes that aren't a record, with where and why.
struct codec_error
{
    std::string what;
    std::size_t position = 0; ///< byte at which reading failed
};

/// Longest record that `decode` takes.
inline constexpr std::size_t max_record_bytes = std::size_t(4) << 20;

/** Encode a record for the log (cereal's portable binary, little-endian).

    An `entity_change` is written in the schema that it names, so that records
    for old readers can be made: in schema 1, `min_replicas` is left out.

    @param value The record.
    @return      Its bytes; the same bytes for equal records.
*/
std::vector<std::byte> encode(const record& value);

/** Decode a record read from the log.

    A kind or entity schema that is newer than this program yields an
    `unknown_record` or an unread `entity_change`, not an error. A record of an
    older schema is upcast.

    @param bytes What was read; may be hostile.
    @return      The record, or a `codec_error`.
*/
boost::leaf::result<record> decode(std::span<std::byte const> bytes);

} // namespace roseworks
