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
    const auto& part = this->all->shards[hash % shard_count];
    if (!part)
    {
        return nullptr;
    }
    const slot wanted{high_half(hash), servable_id{}};
    auto at = std::lower_bound(part->slots.begin(), part->slots.end(), wanted);
    for (; at != part->slots.end() && at->hash == wanted.hash; ++at)
    {
        const servable_routes* entry = entries.find(at->id);
        if (entry != nullptr && entry->name == name)
        {
            return entry;
        }
    }
    return nullptr;
}

void name_index::insert(std::string_view name, servable_id id, edition current)
{
    const std::uint64_t hash = hash_of(name);
    shard& part = this->edit(hash % shard_count, current);
    const slot added{high_half(hash), id};
    const auto at =
        std::lower_bound(part.slots.begin(), part.slots.end(), added);
    if (at == part.slots.end() || *at != added)
    {
        part.slots.insert(at, added);
    }
}

void name_index::erase(std::string_view name, servable_id id, edition current)
{
    const std::uint64_t hash = hash_of(name);
    shard& part = this->edit(hash % shard_count, current);
    std::erase(part.slots, slot{high_half(hash), id});
}

name_index::shard& name_index::edit(std::size_t index, edition current)
{
    if (this->all->made != current)
    {
        this->all = std::make_shared<directory>(*this->all);
        this->all->made = current;
    }
    auto& part = this->all->shards[index];
    if (!part || part->made != current)
    {
        part =
            part ? std::make_shared<shard>(*part) : std::make_shared<shard>();
        part->made = current;
    }
    return *part;
}

} // namespace roseworks::detail
