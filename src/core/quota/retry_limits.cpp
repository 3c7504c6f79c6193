#include "core/quota/retry_limits.hpp"

namespace roseworks
{

namespace
{

/// Names of organisations don't begin with a control character, so they can't
/// clash with this.
constexpr std::string_view retry_account_prefix = "\x02retries ";

/// Fractions of the allowance that may be used at once, and that accrue in a
/// window. Their sum is what a window can hold at most. It is below 1, because
/// two accountants may count a router at once for a short time, and because a
/// retry reaches its server later than it was counted.
constexpr double burst_fraction = 0.3;
constexpr double accrual_fraction = 0.55;

usage_limit usable_part(double per_window, duration window)
{
    const double seconds = std::chrono::duration<double>(window).count();
    return {
        per_window * accrual_fraction / seconds, per_window * burst_fraction};
}

} // namespace

global_limit limit_of_retries(const retry_allowance& allowance)
{
    global_limit limit;
    limit.total = usable_part(allowance.extra, allowance.window);
    limit.per_request = usable_part(allowance.ratio, allowance.window);
    limit.request_window = allowance.window;
    return limit;
}

global_limits retry_limits_of(
    const deployment& configuration, const retry_allowance& allowance)
{
    global_limits limits;
    for (const service_profile& service : configuration.services)
        limits[retry_account(service.name)] = limit_of_retries(allowance);
    return limits;
}

std::string retry_account(std::string_view service)
{
    return std::string(retry_account_prefix) + std::string(service);
}

bool is_retry_account(std::string_view account)
{
    return account.starts_with(retry_account_prefix);
}

std::string_view service_of_account(std::string_view account)
{
    return account.substr(retry_account_prefix.size());
}

} // namespace roseworks
