#include "core/state/duplicate_filter.hpp"

namespace roseworks::detail
{

bool duplicate_filter::first(const record_id& id, stamp_ms now)
{
    row_type& row = this->rows[{id.author, id.incarnation}];
    row.last_seen = now;
    if (id.sequence > row.highest)
        advance(row, id.sequence);
    else if (row.highest - id.sequence >= window)
        return false;

    const std::size_t place = id.sequence % window;
    const std::uint64_t bit = std::uint64_t(1) << (place % word_bits);
    std::uint64_t& word = row.folded[place / word_bits];
    const bool seen = (word & bit) != 0;
    word |= bit;
    return !seen;
}

void duplicate_filter::advance(row_type& row, std::uint64_t sequence)
{
    if (sequence - row.highest >= window)
        row.folded.fill(0);
    else
        for (std::uint64_t skipped = row.highest + 1; skipped <= sequence;
             ++skipped)
        {
            const std::size_t place = skipped % window;
            row.folded[place / word_bits] &=
                ~(std::uint64_t(1) << (place % word_bits));
        }
    row.highest = sequence;
}

} // namespace roseworks::detail
