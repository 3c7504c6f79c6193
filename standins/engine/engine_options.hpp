#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace roseworks::standins
{

/// What one engine is like.
struct engine_options
{
    std::string name;
    std::uint64_t memory_mib = 0;
    std::uint64_t accelerators = 1;
    bool check_fencing = true;
    std::string credential; ///< empty: who orders is not checked
    std::optional<boost::asio::ip::tcp::endpoint> weight_store;
    std::size_t slots = 0;       ///< requests that run at once
    std::size_t max_waiting = 0; ///< requests that may wait for a slot
    std::size_t prefix_entries = 0;
    std::chrono::milliseconds token{0};
    std::chrono::microseconds prefill_per_char{0};
    std::chrono::milliseconds load_extra{0};
    std::set<std::string> disk_cached;
    bool resume = false; ///< streams can be gone on with
};

} // namespace roseworks::standins
