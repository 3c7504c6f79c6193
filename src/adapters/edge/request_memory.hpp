#pragma once

#include "adapters/edge/edge_options.hpp"
#include "adapters/edge/traffic_observer.hpp"
#include "core/admission/receive_budget.hpp"
#include "ports/event_sink.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace roseworks::edge
{

/// @param vm_memory Memory of the VM in bytes.
/// @return          What the requests of all callers may occupy of it.
std::size_t request_memory(std::size_t vm_memory);

/// @param vm_memory       Memory of the VM in bytes.
/// @param max_connections Connections of callers.
/// @return                What the kernel may hold unread for each of them, in
///                        bytes.
std::size_t receive_buffer(std::size_t vm_memory, std::size_t max_connections);

/// @param memory_mb Memory of the VM in MB; 0: what the kernel states.
/// @return          The same in bytes.
std::size_t vm_memory(std::uint32_t memory_mb);

/// @return What a single request inside the limits occupies at most, in bytes.
std::size_t largest_request(const edge_options& limits);

/// Counts and logs which limits callers have met since the last call.
/// @param listener Name of the setting with the listener's address.
void report_limits(
    std::string_view listener,
    receive_budget& memory,
    traffic_observer& observer,
    event_sink& events);

} // namespace roseworks::edge
