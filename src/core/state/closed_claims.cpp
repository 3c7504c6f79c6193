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
        const stamp_ms group = at->first / group_buckets;
        const auto filter = this->filters.find(group);
        if (filter != this->filters.end() && !filter->second.may_hold(key))
        {
            const auto first = this->buckets.lower_bound(group * group_buckets);
            at = std::prev(std::make_reverse_iterator(first));
            continue;
        }
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
    const auto filter = this->filters.find(place->first / group_buckets);
    if (filter != this->filters.end())
        filter->second.add(row.key);
    else if (is_new)
        this->add_filters();
}

void closed_claims::add_filters()
{
    const stamp_ms newest = this->buckets.rbegin()->first / group_buckets;
    auto at = this->buckets.begin();
    while (at->first / group_buckets != newest)
    {
        const stamp_ms group = at->first / group_buckets;
        if (!this->filters.contains(group))
            this->filters.emplace(group, this->make_filter(group));
        at = this->buckets.lower_bound((group + 1) * group_buckets);
    }
}

key_filter closed_claims::make_filter(stamp_ms group) const
{
    const auto first = this->buckets.lower_bound(group * group_buckets);
    const auto end = this->buckets.lower_bound((group + 1) * group_buckets);
    std::size_t keys = 0;
    for (auto at = first; at != end; ++at)
        keys += at->second.size();
    key_filter filter(keys);
    for (auto at = first; at != end; ++at)
    {
        for (const closed_claim& row : at->second)
            filter.add(row.key);
    }
    return filter;
}

void closed_claims::drop_filters()
{
    const stamp_ms oldest = this->buckets.empty()
                                ? latest_stamp_ms
                                : this->buckets.begin()->first / group_buckets;
    this->filters.erase(
        this->filters.begin(), this->filters.lower_bound(oldest));
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
    this->add_filters();
    return true;
}

} // namespace roseworks::detail
