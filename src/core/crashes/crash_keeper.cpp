#include "core/crashes/crash_keeper.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <unordered_set>
#include <utility>

namespace roseworks
{

namespace
{

template <class Record>
std::uint64_t digest_of(std::span<const Record> records)
{
    std::uint64_t sum = 0;
    for (const Record& record : records)
    {
        const std::array<std::uint64_t, 2> values{
            record.life, record.cleared ? 1U : 0U};
        sum ^= XXH64(values.data(), sizeof(values), 0);
    }
    return sum;
}

std::uint64_t digest_of(const archived_block& block)
{
    return digest_of(std::span(block.crashes)) ^
           digest_of(std::span(block.part_crashes));
}

/// The wall clocks of two routers may differ.
duration age_of(const archived_block& block, stamp_ms wall)
{
    return std::chrono::milliseconds(
        std::max<stamp_ms>(wall - block.written_at, 0));
}

} // namespace

crash_keeper::crash_keeper(crash_tracker& knowledge)
    : tracker(knowledge)
{
}

void crash_keeper::restore(
    std::span<const archived_block> all, stamp_ms wall, instant now)
{
    for (const archived_block& block : all)
    {
        this->archived[block.subject] = digest_of(block);
        this->tracker.restore(block, age_of(block, wall), now);
    }
}

crash_keeper::changes crash_keeper::take_changes(stamp_ms wall, instant now)
{
    changes made;
    std::unordered_set<std::uint64_t> blocked;
    for (archived_block& block : this->tracker.blocked_records(now))
    {
        blocked.insert(block.subject);
        const std::uint64_t digest = digest_of(block);
        const auto known = this->archived.find(block.subject);
        const bool is_written =
            known != this->archived.end() && known->second == digest;
        if (is_written || !this->tracker.keeps(fingerprint(block.subject)))
            continue;
        this->archived[block.subject] = digest;
        block.written_at = wall;
        made.written.push_back(std::move(block));
    }
    std::erase_if(
        this->archived,
        [&](const auto& entry)
        {
            if (blocked.contains(entry.first))
                return false;
            if (this->tracker.keeps(fingerprint(entry.first)))
                made.removed.push_back(entry.first);
            return true;
        });
    return made;
}

} // namespace roseworks
