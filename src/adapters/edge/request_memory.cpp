#include "adapters/edge/request_memory.hpp"

#include <algorithm>
#include <numeric>
#include <unistd.h>

namespace roseworks::edge
{

std::size_t request_memory(std::size_t vm_memory)
{
    // The control state at the sizes of docs/CAPACITY.md.
    constexpr std::size_t process_bytes = std::size_t(56) << 20;
    // The rest is shared with the connections, what the kernel has received,
    // and the responses of backend servers.
    constexpr std::size_t whole = 8;
    constexpr std::size_t share = 5;
    return (vm_memory - std::min(vm_memory, process_bytes)) / whole * share;
}

std::size_t receive_buffer(std::size_t vm_memory, std::size_t max_connections)
{
    constexpr std::size_t share = 8; // of the VM's memory, for all connections
    // A smaller one slows callers down, a larger one doesn't help them.
    constexpr std::size_t min_bytes = std::size_t(16) << 10;
    constexpr std::size_t max_bytes = std::size_t(64) << 10;
    return std::clamp(
        vm_memory / share / max_connections, min_bytes, max_bytes);
}

std::size_t vm_memory(std::uint32_t memory_mb)
{
    constexpr std::size_t bytes_per_mb = 1'000'000;
    if (memory_mb != 0)
        return memory_mb * bytes_per_mb;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    return static_cast<std::size_t>(std::max(pages, 0L)) *
           static_cast<std::size_t>(std::max(page_bytes, 0L));
}

std::size_t largest_request(const edge_options& limits)
{
    // The body while it grows, copies of the head, and what is buffered.
    constexpr std::size_t buffered_bytes = std::size_t(64) << 10;
    constexpr std::size_t head_copies = 4;
    return limits.max_body_bytes + limits.max_body_bytes / 2 +
           head_copies * limits.max_header_bytes + buffered_bytes;
}

void report_limits(
    std::string_view listener,
    receive_budget& memory,
    traffic_observer& observer,
    event_sink& events)
{
    const receive_budget::counts met = memory.take_counts();
    if (std::accumulate(met.begin(), met.end(), std::uint64_t(0)) == 0)
        return;
    for (std::size_t i = 0; i < met.size(); ++i)
        observer.caller_limit_met(static_cast<receive_limit>(i), met[i]);
    const auto times = [&](receive_limit limit)
    {
        return met[static_cast<std::size_t>(limit)];
    };
    events.report(
        event_id::caller_limits_met,
        {{"listener", listener},
         {"header", times(receive_limit::header)},
         {"framing", times(receive_limit::framing)},
         {"body", times(receive_limit::body)},
         {"memory", times(receive_limit::memory)},
         {"displaced", times(receive_limit::displaced)},
         {"place", times(receive_limit::place)},
         {"held_bytes", memory.used_bytes()},
         {"max_bytes", memory.max_bytes()}});
}

} // namespace roseworks::edge
