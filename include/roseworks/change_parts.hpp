#pragma once

#include <roseworks/codec.hpp>
#include <roseworks/record.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace roseworks
{

/// Most bytes of one record of a large change. A quarter of what a reader
/// takes, so that many changes still stand or fall together.
inline constexpr std::size_t max_part_bytes = max_record_bytes / 4;

/// LEAF error object: one entity alone is over the limit.
struct oversized_entity
{
    entity_kind kind = entity_kind::model;
    std::string name;
    std::size_t bytes = 0; ///< of its record, without a note
};

/** Split an operators' change into records that every reader takes.

    The order of the changes is kept, so that each part is valid after those
    before it when the whole is valid in its order. A change that fits stays one
    record, of which all is accepted or none; the parts of a larger one are
    accepted or rejected one by one.

    @param whole     The change, unsigned; its author and note go to each part.
    @param max_bytes Most bytes of one encoded record, signature included.
    @return          At least one part; or an `oversized_entity`.
*/
boost::leaf::result<std::vector<config_change>>
split_change(config_change whole, std::size_t max_bytes = max_part_bytes);

} // namespace roseworks
