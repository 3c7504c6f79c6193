#pragma once

#include <cstdint>
#include <string_view>

namespace roseworks
{

/// What shows that a life of a backend server has ended.
enum class crash_evidence : std::uint8_t
{
    unreachable = 1, ///< no connection could be opened for some seconds
    refused = 2,     ///< it refused new connections of several routers
    replaced = 3,    ///< another server runs at its address
    restarted = 4,   ///< it registered again with another start time
    removed = 5      ///< its entry left the registry
};

/// Number of the last kind of evidence.
inline constexpr std::uint8_t last_crash_evidence = 5;

/// @return Whether the life has certainly ended. A server that is only
///         unreachable may be cut off from this router.
constexpr bool is_proof(crash_evidence evidence)
{
    return evidence != crash_evidence::unreachable;
}

std::string_view to_string(crash_evidence evidence);

} // namespace roseworks
