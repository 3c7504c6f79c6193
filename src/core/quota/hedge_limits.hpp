#pragma once

#include "core/quota/global_limits.hpp"
#include "core/serving/deployment.hpp"

#include <roseworks/instant.hpp>

#include <string>
#include <string_view>

namespace roseworks
{

/** @return The limit on the hedges of one service, in hedges: `share` times the
            requests of the window, over all routers together.

    The requests are those that are reported under the service's retry account,
    so that no message gets longer.

    @param window Has to be that of the service's retries.
*/
global_limit
limit_of_hedges(std::string_view service, double share, duration window);

/// @return The limits on the hedges of all services of the configuration, by
///         account name. None if the share is 0.
global_limits
hedge_limits_of(const deployment& configuration, double share, duration window);

/** @return The account name for the hedges of a service.

    It also counts as a retry account, of a service that can't exist. So a
   router that doesn't know hedges refuses them, as it refuses the retries of a
   service that it doesn't know, instead of allowing them without a limit.
*/
std::string hedge_account(std::string_view service);

/// @return Whether the account counts the hedges of a service.
bool is_hedge_account(std::string_view account);

} // namespace roseworks
