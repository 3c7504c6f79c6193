#include "core/state/closed_claims.hpp"

#include "core/state/archive_reader.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace roseworks::detail
{

namespace
{

constexpr std::size_t least_growth = 16;
constexpr std::size_t growth_share = 8;

bool before(const closed_claim& row, const claim_key& key)
{
    return row.key < key;
}

bool out_of_order(const closed_claim& first, const closed_claim& second)
{
    return !(first.key < second.key);
}

} // namespace

const closed_claim* closed_claims::find(const claim_key& key) const
{
    for (auto at = this->buckets.rbegin(); at != this->buckets.rend(); ++at)
    {
        const bucket& rows = at->second;
        const auto found =
            std::lower_bound(rows.begin(), rows.end(), key, before);
        if (found != rows.end() && found->key == key)
            return &*found;
    }
    return nullptr;
}

void closed_claims::insert(const closed_claim& row, stamp_ms from)
{
    const auto [place, is_new] = this->buckets.try_emplace(from / bucket_ms);
    // The bucket before hardly grows any more.
    if (is_new && place != this->buckets.begin())
        std::prev(place)->second.shrink_to_fit();
    bucket& rows = place->second;
    if (rows.size() == rows.capacity())
        rows.reserve(rows.size() + rows.size() / growth_share + least_growth);
    rows.insert(
        std::lower_bound(rows.begin(), rows.end(), row.key, before), row);
    ++this->count;
}

bool closed_claims::take(stamp_ms number, bucket rows)
{
    const bool later =
        this->buckets.empty() || this->buckets.rbegin()->first < number;
    const bool in_range =
        number >= 0 && number <= 2 * latest_stamp_ms / bucket_ms;
    const bool sorted =
        std::adjacent_find(rows.begin(), rows.end(), out_of_order) ==
        rows.end();
    if (!later || !in_range || !sorted || rows.empty())
        return false;
    rows.shrink_to_fit();
    this->count += rows.size();
    this->buckets.emplace(number, std::move(rows));
    return true;
}

} // namespace roseworks::detail
