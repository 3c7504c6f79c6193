#pragma once

#include "core/quota/global_limits.hpp"
#include "core/serving/deployment.hpp"

#include <roseworks/instant.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace roseworks
{

/** The retries that all routers together may send to one service within any
    window, so that retries can't multiply the load of a failing service. */
struct retry_allowance
{
    double ratio = 0.2; ///< retries per request of the window
    double extra = 50;  ///< retries in addition to these
    duration window = std::chrono::seconds(10);
};

/// @return The limit on the retries of one service, in retries.
global_limit limit_of_retries(const retry_allowance& allowance);

/// @return The limits on the retries of all services of the configuration, by
///         account name.
global_limits retry_limits_of(
    const deployment& configuration, const retry_allowance& allowance);

/// @return The account name for the retries of a service.
std::string retry_account(std::string_view service);

/// @return Whether the account counts the retries of a service.
bool is_retry_account(std::string_view account);

/// @return The name of the service.
/// @param account Must count the retries of a service.
std::string_view service_of_account(std::string_view account);

} // namespace roseworks
