#pragma once

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::edge
{

/// The kind of endpoint that a request addresses.
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

/// @return The label of a route in metrics.
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

/// A parsed request target.
struct request_target
{
    route_kind kind = route_kind::healthz;
    std::string service; ///< name of the service; else empty
    std::string path;    ///< path and query for the backend server
};

/// Parses the method and target of a request. Only the origin form is accepted.
/// Dot segments are rejected because servers resolve them differently.
/// @param method The unmodified method.
/// @param target The unmodified request target.
/// @return       The parsed target; `call_problem` with 400, 404 or 405.
boost::leaf::result<request_target>
parse_request_target(std::string_view method, std::string_view target);

} // namespace roseworks::edge
