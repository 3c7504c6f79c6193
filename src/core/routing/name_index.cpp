#include "core/routing/name_index.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace roseworks::detail
{

namespace
{

std::uint64_t hash_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint32_t high_half(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash >> 32);
}

} // namespace

name_index::name_index()
    : all(std::make_shared<directory>())
{
}

const servable_routes*
name_index::find(std::string_view name, const servable_tree& entries) const
{
    const std::uint64_t hash = hash_of(name);
    const auto& bucket = this->all->shards[hash % shard_count];
    if (!bucket)
    {
        return nullptr;
    }
    const slot wanted{high_half(hash), servable_id{}};
    auto position =
        std::lower_bound(bucket->slots.begin(), bucket->slots.end(), wanted);
    for (; position != bucket->slots.end() && position->hash == wanted.hash;
         ++position)
    {
        const servable_routes* entry = entries.find(position->id);
        if (entry != nullptr && entry->name == name)
        {
            return entry;
        }
    }
    return nullptr;
}

void name_index::insert(
    std::string_view name, servable_id id, table_version current)
{
    const std::uint64_t hash = hash_of(name);
    shard& bucket = this->edit(hash % shard_count, current);
    const slot added{high_half(hash), id};
    const auto position =
        std::lower_bound(bucket.slots.begin(), bucket.slots.end(), added);
    if (position == bucket.slots.end() || *position != added)
    {
        bucket.slots.insert(position, added);
    }
}

void name_index::erase(
    std::string_view name, servable_id id, table_version current)
{
    const std::uint64_t hash = hash_of(name);
    shard& bucket = this->edit(hash % shard_count, current);
    std::erase(bucket.slots, slot{high_half(hash), id});
}

name_index::shard& name_index::edit(std::size_t index, table_version current)
{
    if (this->all->version != current)
    {
        this->all = std::make_shared<directory>(*this->all);
        this->all->version = current;
    }
    auto& bucket = this->all->shards[index];
    if (!bucket || bucket->version != current)
    {
        bucket = bucket ? std::make_shared<shard>(*bucket)
                        : std::make_shared<shard>();
        bucket->version = current;
    }
    return *bucket;
}

} // namespace roseworks::detail
