#include "core/quota/hedge_limits.hpp"

#include "core/quota/retry_limits.hpp"

namespace roseworks
{

namespace
{

/// Names of services don't begin with a control character.
constexpr std::string_view hedge_prefix = "\x02hedges ";

/// Fractions of the limit that may be used at once, and that accrue in a
/// window. Their sum is what a window can hold at most, as for retries. Late
/// requests come more evenly than failures, so less has to be saved up.
constexpr double burst_fraction = 0.1;
constexpr double accrual_fraction = 0.75;

} // namespace

global_limit
limit_of_hedges(std::string_view service, double share, duration window)
{
    const double seconds = std::chrono::duration<double>(window).count();
    global_limit limit;
    limit.per_request = {
        share * accrual_fraction / seconds, share * burst_fraction};
    limit.request_window = window;
    limit.counted_under = retry_account(service);
    return limit;
}

global_limits
hedge_limits_of(const deployment& configuration, double share, duration window)
{
    global_limits limits;
    if (share <= 0)
        return limits;
    for (const service_profile& service : configuration.services)
        limits[hedge_account(service.name)] =
            limit_of_hedges(service.name, share, window);
    return limits;
}

std::string hedge_account(std::string_view service)
{
    return retry_account(std::string(hedge_prefix) + std::string(service));
}

bool is_hedge_account(std::string_view account)
{
    return is_retry_account(account) &&
           service_of_account(account).starts_with(hedge_prefix);
}

} // namespace roseworks
