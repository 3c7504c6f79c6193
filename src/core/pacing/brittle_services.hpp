#pragma once

#include "core/pacing/server_limits.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace roseworks
{

/** Names under which routers exchange which services are brittle, in the same
    messages as the rate limits of servers. They can't clash with the id of a
    server, which doesn't begin with a control character. */
inline std::string brittle_service_key(std::string_view service)
{
    return "\x01"
           "brittle " +
           std::string(service);
}

/// @return Whether the name stands for a brittle service, not for a server.
inline bool is_brittle_service_key(std::string_view key)
{
    return key.starts_with("\x01"
                           "brittle ");
}

/// @param key Must stand for a brittle service.
inline std::string_view service_of_brittle_key(std::string_view key)
{
    return key.substr(brittle_service_key({}).size());
}

/** @return The options for the services that are brittle.

    The newest answer of any server of a service counts. So a service is sound
    again only when answers have said so for a while.
*/
inline server_limits::options brittle_service_options(std::string router)
{
    server_limits::options made;
    made.router = std::move(router);
    made.end_delay = std::chrono::milliseconds(2500);
    return made;
}

} // namespace roseworks
