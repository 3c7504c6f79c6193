#pragma once

#include "core/quota/limit_share.hpp"
#include "core/serving/deployment.hpp"

#include <roseworks/instant.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace roseworks
{

/// A rate limit that applies to the sum of the usage at all routers.
struct global_limit
{
    usage_limit total{};
    double slack = 0; ///< tolerated on top of the limit in each window
    /// Minimum burst of a router that enforces its share locally, however small
    /// that share is.
    double min_burst = 0;
    /// Added to `total` for each request that arrived within `request_window`,
    /// at any router.
    usage_limit per_request{};
    duration request_window{};
    /// The account under which these requests are reported; empty: its own.
    std::string counted_under;
    /// If not 0, requests hold places instead of taking tokens: a backend
    /// server runs so many at once. `total` then only applies to a router that
    /// reaches no accountant.
    double slots = 0;
};

/// Limits by account name.
using global_limits = std::map<std::string, global_limit, std::less<>>;

/// @return The limits that the configuration sets, by organisation name.
global_limits
limits_of(const deployment& configuration, const quota_bounds& bounds);

/// @return The limit for a rate that a backend server announced.
global_limit limit_of_server(double per_second);

/// @return The limit on the requests that a backend server has at once.
/// @param slots Requests that it runs at once.
global_limit limit_of_places(double slots);

/// @return The account name for the places of a backend server.
/// @param server id of its registry entry.
std::string places_account(std::string_view server);

/// @return Whether the account counts the places of a backend server.
bool is_places_account(std::string_view account);

/// @return The account name for a backend server's limit.
/// @param server id of its registry entry.
std::string server_account(std::string_view server);

/// @return Whether the account belongs to a backend server.
bool is_server_account(std::string_view account);

/// @return id of the server's registry entry.
/// @param account Must belong to a backend server.
std::string_view server_of_account(std::string_view account);

} // namespace roseworks
