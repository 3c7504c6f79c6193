#pragma once

#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace roseworks
{

/// LEAF error object: the bytes can't be decoded.
struct codec_error
{
    std::string what;
    std::size_t position = 0; ///< byte offset at which decoding failed
};

/// Maximum size of a record that `decode` accepts.
inline constexpr std::size_t max_record_bytes = std::size_t(4) << 20;

/** Encode a record for the log (cereal's portable binary, little-endian).

    An `entity_change` is written in the schema that it names, so that records
    for older readers can be written. Schema 1 has no `min_replicas`.

    @param value The record.
    @return      Its bytes; the same for equal records.
*/
std::vector<std::byte> encode(const record& value);

/** Decode a record read from the log.

    A kind newer than this program yields an `unknown_record`, and a newer
    entity schema an `entity_change` with its spec in `unread`; neither is an
    error. A record of an older schema is converted to the newest.

    @param bytes The bytes as read; untrusted.
    @return      The record, or a `codec_error`.
*/
boost::leaf::result<record> decode(std::span<std::byte const> bytes);

} // namespace roseworks
