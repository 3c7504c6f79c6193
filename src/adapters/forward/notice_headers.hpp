#pragma once

#include "adapters/forward/header_names.hpp"
#include "adapters/forward/response_head.hpp"
#include "core/pacing/server_notice.hpp"

#include <optional>
#include <string_view>

namespace roseworks::forward
{

/// The rate limit that a response names for its server.
struct server_rate_limit
{
    std::optional<double> requests_per_second; ///< empty: none that is valid
    std::string_view raw_value; ///< as received; refers to the head
    bool is_malformed = false;  ///< present, but no valid number
};

/// @return The rejections per second that the server withstands; empty unless
///         the response states a valid number.
std::optional<double>
parse_max_rejections(const response_head& head, const header_names& names);

/// Uses the lowest of several values and ignores malformed ones.
/// @return The rate limit that the response names.
server_rate_limit
parse_rate_limit(const response_head& head, const header_names& names);

/// @return The value of Retry-After in a 503, as received. Empty in other
///         responses: a 429 is about the request. Refers to the head.
std::string_view pause_text(const response_head& head);

/// @return What the response states about its server, except for its load. A
///         Retry-After that isn't a number of seconds is ignored; one of more
///         than an hour counts as an hour.
server_notice
parse_notice(const response_head& head, const header_names& names);

} // namespace roseworks::forward
