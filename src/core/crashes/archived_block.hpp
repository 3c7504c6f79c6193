#pragma once

#include "core/crashes/crash_report.hpp"

#include <roseworks/instant.hpp>

#include <cstdint>
#include <vector>

namespace roseworks
{

/// What is known of one blocked request, or blocked part of prompts, in the
/// form that outlives the processes of all routers.
struct archived_block
{
    std::uint64_t subject = 0;         ///< hash of the content or the part
    stamp_ms written_at = 0;           ///< the records' ages are of this time
    std::vector<crash_record> crashes; ///< of a request
    std::vector<part_crash_record> part_crashes; ///< of a part

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->subject, this->written_at, this->crashes, this->part_crashes);
    }
};

} // namespace roseworks
