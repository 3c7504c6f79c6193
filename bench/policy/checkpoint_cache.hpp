#pragma once

#include "core/trace/trace.hpp"

#include <cstdint>
#include <list>
#include <vector>

namespace roseworks::bench
{

/// Where an engine finds a checkpoint, best first.
enum class cache_tier : std::uint8_t
{
    memory,
    disk,
    remote
};

/// The checkpoints that one engine keeps; least recently used goes first.
class checkpoint_cache
{
public:
    checkpoint_cache(
        const traced_engine& engine,
        const std::vector<traced_servable>& servables);

    cache_tier find(std::uint32_t servable) const;

    /// It was loaded or unloaded: it is now in memory and on disk.
    void touch(std::uint32_t servable);

private:
    struct level
    {
        std::uint64_t capacity_mib = 0;
        std::uint64_t used_mib = 0;
        std::list<std::uint32_t> newest_first;
    };

    void put(level& where, std::uint32_t servable);
    static bool contains(const level& where, std::uint32_t servable);

    const std::vector<traced_servable>& servables;
    level memory;
    level disk;
};

} // namespace roseworks::bench
