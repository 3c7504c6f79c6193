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
    std::uint64_t peak_kib = 0; ///< most resident memory since the start
    std::uint64_t descriptors = 0;
};

/// @return The use of a process of this user.
process_usage usage_of(int pid);

/// @return Bytes that have arrived at an IPv4 address of this machine and that
///         its process has not read yet, over all connections.
/// @param address ip:port.
std::uint64_t unread_bytes(const std::string& address);

/// @return The use of this program's child router of that name.
process_usage router_usage(const std::string& name);

} // namespace roseworks::test
