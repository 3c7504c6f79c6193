#pragma once

#include "adapters/forward/header_dialect.hpp"
#include "adapters/forward/relay_head.hpp"

#include <optional>
#include <string_view>

namespace roseworks::forward
{

/// What an answer says of its server's rate limit.
struct named_rate_limit
{
    std::optional<double> per_second; ///< empty: none that makes sense
    std::string_view text;            ///< as it stands; borrowed from the head
    bool is_malformed = false;        ///< named, but no number of requests
};

/// Of several the lowest counts, and those that are no numbers don't.
named_rate_limit
read_rate_limit(const answer_head& head, const header_dialect& names);

} // namespace roseworks::forward
