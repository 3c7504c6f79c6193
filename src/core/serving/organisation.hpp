#pragma once

#include "core/serving/key_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks
{

/// The usage that an organisation is allowed at all routers together, in tokens
/// or in requests.
struct usage_limit
{
    double per_second = 0;
    double burst = 0; ///< capacity of the token bucket

    bool operator==(const usage_limit&) const = default;
};

/// An owner of API keys. One usage limit applies to all its keys together.
struct organisation
{
    std::string name;
    std::vector<key_digest> keys;
    std::uint8_t rank = 0; ///< 0 is the highest; precedes the route's rank
    std::optional<usage_limit> limit; ///< empty: unlimited
    bool counts_tokens = false; ///< the limit is in tokens, not in requests
    std::uint64_t default_tokens = 0; ///< if a request states no number

    /// @param tokens Number of tokens that the request states, if any.
    /// @return       Cost of the request, in the unit of the limit.
    double cost(std::optional<std::uint64_t> tokens) const;

    bool operator==(const organisation&) const = default;
};

} // namespace roseworks
