#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace roseworks::test
{

/// What a run is asked to do.
struct soak_options
{
    std::chrono::seconds length{20};
    std::size_t routers = 3;
    std::uint64_t seed = 1;
    /// Calls a second, all callers together.
    std::uint32_t calls_per_second = 40;
    /// Folder that takes the routers' logs; empty: they go with the run.
    std::string log_folder;
};

} // namespace roseworks::test
