#pragma once

#include "tools/lines/fleet_context.hpp"
#include "tools/lines/log_line.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace roseworks::tools
{

/// Why a request was late, refused or failed: the first thing that was wrong.
enum class loss_cause : std::uint8_t
{
    no_owner,
    no_copy, ///< no load of its model was ordered, and no engine had it
    load_from_memory,
    load_from_disk,
    load_from_store,
    model_unloaded, ///< it was sent where its model wasn't any more
    no_engine_free, ///< it waited, and no load of its model was under way
    server_slow,
    server_gone,
    server_unreachable,
    server_failed,
    retry_budget,
    limits, ///< of a caller, or of queues
    blocked,
    router_stopped,
    caller_left,
    other
};

inline constexpr std::size_t loss_causes = 17;

/// @return The word in tables and JSON.
std::string_view to_string(loss_cause cause);

/// How a request that isn't in time ended.
enum class loss_kind : std::uint8_t
{
    late,
    refused,
    failed
};

inline constexpr std::size_t loss_kinds = 3;

std::string_view to_string(loss_kind kind);

/// A request that wasn't answered in time.
struct request_loss
{
    loss_kind kind = loss_kind::failed;
    loss_cause cause = loss_cause::other;
};

/// @return Whether the line tells how a request of the callers' ended.
///         Malformed ones and those without a route aren't owed an answer.
bool tells_of_request(const log_line& line);

/// @param line Of a request.
/// @return Empty for a request that was answered in time.
std::optional<request_loss>
find_loss(const log_line& line, const fleet_context& fleet);

} // namespace roseworks::tools
