#pragma once

#include <cstdint>
#include <string>

namespace roseworks::test
{

/// What a process holds, as /proc shows it.
struct process_usage
{
    int pid = 0; ///< 0: not found
    std::uint64_t resident_kib = 0;
    std::uint64_t descriptors = 0;
};

/// @return The use of this program's child router of that name.
process_usage router_usage(const std::string& name);

} // namespace roseworks::test
