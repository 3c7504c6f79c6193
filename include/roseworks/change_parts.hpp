#pragma once

#include <roseworks/codec.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace roseworks
{

/// Maximum size of one record of a large change. A quarter of what a reader
/// accepts, so that one record can still hold many changes that are accepted or
/// rejected together.
inline constexpr std::size_t max_part_bytes = max_record_bytes / 4;

/// LEAF error object: a single entity exceeds the size limit.
struct oversized_entity
{
    entity_kind kind = entity_kind::model;
    std::string name;
    std::size_t bytes = 0; ///< size of its record, without a note
};

/** Split an operators' change into records that every reader accepts.

    The order of the changes is kept: if the whole change is valid in its order,
    each part is valid after the parts before it. A change that fits in one
    record isn't split and is accepted or rejected as a whole. The parts of a
    larger change are accepted or rejected separately.

    @param whole     The change, unsigned. Each part gets its author and note.
    @param max_bytes Maximum size of one encoded record, including its
                     signature.
    @return          At least one part, or an `oversized_entity`.
*/
boost::leaf::result<std::vector<config_change>>
split_change(config_change whole, std::size_t max_bytes = max_part_bytes);

} // namespace roseworks
