#pragma once

#include <atomic>
#include <cstdint>

namespace roseworks::platform
{

/// Bytes of control traffic, both ways. Read from any thread.
struct byte_meter
{
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
};

} // namespace roseworks::platform
