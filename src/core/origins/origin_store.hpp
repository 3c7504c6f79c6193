#pragma once

#include "core/origins/origin_message.hpp"
#include "core/origins/stream_key.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace roseworks
{

/** The origins of streams that one router knows, its own and those that others
    told it.

    A record is kept for as long as its stream can be taken up. Two records of
    one stream that differ make its origin unknown. Bounded: the oldest records
    are dropped first. */
class origin_store
{
public:
    static constexpr std::size_t default_max_records = 65'536;

    explicit origin_store(std::size_t max_records = default_max_records)
        : limit(max_records)
    {
    }

    /// @param began When the first event was sent.
    /// @return Whether the record is new here, or changes what is known.
    bool add(stream_key stream, software_version software, instant began);

    /// @return Empty without a record; 0 if records differ.
    std::optional<software_version> find(stream_key stream) const;

    /// @return The record of a stream, to be sent to another router.
    std::optional<origin_record>
    record_of(stream_key stream, instant now) const;

    /// @return All streams with a record, oldest first.
    std::vector<stream_key> streams() const;

    /// Drops the records of streams that began before this time.
    void drop_before(instant oldest);

    std::size_t size() const
    {
        return this->records.size();
    }

private:
    struct entry
    {
        software_version software;
        instant began;
    };

    void drop_oldest();

    std::size_t limit;
    std::unordered_map<stream_key, entry> records;
    std::deque<stream_key> order; ///< in which they were added
};

} // namespace roseworks
