#pragma once

#include <atomic>
#include <cstdint>

namespace roseworks::platform
{

/// Counts the bytes of control traffic in both directions. May be read from any
/// thread.
struct byte_meter
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
};

} // namespace roseworks::platform
