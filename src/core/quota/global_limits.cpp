#include "core/quota/global_limits.hpp"

namespace roseworks
{

namespace
{

/// Names of organisations don't begin with a control character, so they can't
/// clash with this.
constexpr std::string_view server_account_prefix = "\x01server ";
constexpr std::string_view places_account_prefix = "\x01places ";

} // namespace

global_limits
limits_of(const deployment& configuration, const quota_bounds& bounds)
{
    global_limits limits;
    if (!configuration.organisations)
        return limits;
    for (const organisation& entry : *configuration.organisations)
    {
        if (entry.limit)
            limits[entry.name] = {.total = *entry.limit, .slack = bounds.slack};
    }
    return limits;
}

global_limit limit_of_server(double per_second)
{
    constexpr double one_request = 1;
    return {.total = {per_second, one_request}, .min_burst = one_request};
}

global_limit limit_of_places(double slots)
{
    constexpr double one_request = 1;
    return {
        .total = {slots, one_request},
        .min_burst = one_request,
        .slots = slots};
}

std::string places_account(std::string_view server)
{
    return std::string(places_account_prefix) + std::string(server);
}

bool is_places_account(std::string_view account)
{
    return account.starts_with(places_account_prefix);
}

std::string server_account(std::string_view server)
{
    return std::string(server_account_prefix) + std::string(server);
}

std::string_view server_of_account(std::string_view account)
{
    return account.substr(server_account_prefix.size());
}

bool is_server_account(std::string_view account)
{
    return account.starts_with(server_account_prefix);
}

} // namespace roseworks
