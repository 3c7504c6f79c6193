#pragma once

#include "core/pacing/brittle_services.hpp"
#include "core/pacing/leaving_servers.hpp"
#include "core/pacing/saturated_servers.hpp"
#include "core/pacing/server_limit_update.hpp"

namespace roseworks
{

/// The entries of an update by what they are about.
struct update_kinds
{
    server_limit_update rate_limits;
    server_limit_update brittle_services;
    server_limit_update saturated_servers;
    server_limit_update leaving_servers;
};

inline update_kinds split_by_kind(const server_limit_update& update)
{
    update_kinds kinds;
    kinds.rate_limits.router = update.router;
    kinds.brittle_services.router = update.router;
    kinds.saturated_servers.router = update.router;
    kinds.leaving_servers.router = update.router;
    for (const server_limit_entry& one : update.limits)
    {
        server_limit_update& kind =
            is_brittle_service_key(one.server)    ? kinds.brittle_services
            : is_saturated_server_key(one.server) ? kinds.saturated_servers
            : is_leaving_server_key(one.server)   ? kinds.leaving_servers
                                                  : kinds.rate_limits;
        kind.limits.push_back(one);
    }
    return kinds;
}

} // namespace roseworks
