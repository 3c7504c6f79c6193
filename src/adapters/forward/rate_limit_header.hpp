#pragma once

#include "adapters/forward/header_dialect.hpp"
#include "adapters/forward/relay_head.hpp"

#include <optional>
#include <string_view>

namespace roseworks::forward
{

/// The rate limit that a response names for its server.
struct named_rate_limit
{
    std::optional<double> per_second; ///< empty: none that is valid
    std::string_view text;            ///< as received; refers to the head
    bool is_malformed = false;        ///< present, but no valid number
};

/// Uses the lowest of several values and ignores malformed ones.
/// @return The rate limit that the response names.
named_rate_limit
read_rate_limit(const answer_head& head, const header_dialect& names);

} // namespace roseworks::forward
