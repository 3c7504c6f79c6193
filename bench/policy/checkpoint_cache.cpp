#include "checkpoint_cache.hpp"

#include <algorithm>

namespace roseworks::bench
{

checkpoint_cache::checkpoint_cache(
    const traced_engine& engine, const std::vector<traced_servable>& all)
    : servables(all)
{
    this->memory.capacity_mib = engine.host_cache_mib;
    this->disk.capacity_mib = engine.disk_cache_mib;
    for (const std::uint32_t servable : engine.staged)
    {
        this->put(this->disk, servable);
    }
}

bool checkpoint_cache::contains(const level& where, std::uint32_t servable)
{
    return std::find(
               where.newest_first.begin(),
               where.newest_first.end(),
               servable) != where.newest_first.end();
}

cache_tier checkpoint_cache::find(std::uint32_t servable) const
{
    if (contains(this->memory, servable))
    {
        return cache_tier::memory;
    }
    return contains(this->disk, servable) ? cache_tier::disk
                                          : cache_tier::remote;
}

void checkpoint_cache::touch(std::uint32_t servable)
{
    this->put(this->memory, servable);
    this->put(this->disk, servable);
}

void checkpoint_cache::put(level& where, std::uint32_t servable)
{
    const std::uint64_t size = this->servables[servable].memory_mib;
    if (size > where.capacity_mib)
    {
        return;
    }
    if (contains(where, servable))
    {
        where.newest_first.remove(servable);
        where.used_mib -= size;
    }
    while (where.used_mib + size > where.capacity_mib)
    {
        where.used_mib -= this->servables[where.newest_first.back()].memory_mib;
        where.newest_first.pop_back();
    }
    where.newest_first.push_front(servable);
    where.used_mib += size;
}

} // namespace roseworks::bench
