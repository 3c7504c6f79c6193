#pragma once

#include "core/quota/limit_share.hpp"
#include "core/serving/deployment.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace roseworks
{

/// A limit that is one sum over all routers.
struct counted_limit
{
    usage_limit whole;
    double slack = 0; ///< beside it, in a window
    /// A router that counts by itself may save up so much, however small its
    /// part of the limit is.
    double least_burst = 0;
};

/// By the name of the account that draws are counted in.
using counted_limits = std::map<std::string, counted_limit, std::less<>>;

/// @return What the configuration sets for organisations, by their names.
counted_limits
limits_of(const deployment& configuration, const quota_bounds& bounds);

/// @return The limit that a backend server named.
counted_limit limit_of_server(double per_second);

/// @return The account of a backend server's limit.
/// @param server id of its entry.
std::string server_account(std::string_view server);

/// @return Whether an account is one of a backend server.
bool is_server_account(std::string_view account);

/// @return id of the server's entry; the account has to be one of a server.
std::string_view server_of_account(std::string_view account);

} // namespace roseworks
