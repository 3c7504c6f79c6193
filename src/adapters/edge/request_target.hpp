#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/// What a call asks for.
enum class route_kind : std::uint8_t
{
    chat,
    completion,
    models,
    service,
    healthz,
    readyz,
    metrics,
    state
};

/// @return The word used for a route in metrics.
constexpr std::string_view to_string(route_kind value)
{
    switch (value)
    {
    case route_kind::chat:
        return "chat";
    case route_kind::completion:
        return "completion";
    case route_kind::models:
        return "models";
    case route_kind::service:
        return "service";
    case route_kind::healthz:
        return "healthz";
    case route_kind::readyz:
        return "readyz";
    case route_kind::metrics:
        return "metrics";
    case route_kind::state:
        return "state";
    }
    return "unknown";
}

/// A request target, understood.
struct request_target
{
    route_kind kind = route_kind::healthz;
    std::string service; ///< name, for a service
    std::string path;    ///< path and query for the backend server
};

/// Understands a request's method and target. Only the origin form is taken;
/// dot segments are refused, as their meaning differs between servers.
/// @param method the method as sent.
/// @param target the target as sent.
/// @return       the target; `call_problem` with 400, 404 or 405.
boost::leaf::result<request_target>
parse_request_target(std::string_view method, std::string_view target);

} // namespace roseworks::edge
