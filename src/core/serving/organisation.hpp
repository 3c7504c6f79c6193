#pragma once

#include "core/serving/key_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks
{

/// How much an organisation may use, over all routers together. Tokens, or
/// requests where requests are counted.
struct usage_limit
{
    double per_second = 0;
    double burst = 0; ///< beside what its rate gives

    bool operator==(const usage_limit&) const = default;
};

/// Whose requests these are: it holds API keys, and its limit is one sum.
struct organisation
{
    std::string name;
    std::vector<key_digest> keys;
    std::uint8_t rank = 0;            ///< 0 goes first, before a route's rank
    std::optional<usage_limit> limit; ///< empty: none
    bool counts_tokens = false;       ///< its limit is in tokens
    std::uint64_t plain_tokens = 0; ///< of a request that doesn't tell its own

    /// @param tokens What a request says that it takes; empty: nothing said.
    /// @return       What it counts towards the limit.
    double cost(std::optional<std::uint64_t> tokens) const;

    bool operator==(const organisation&) const = default;
};

} // namespace roseworks
