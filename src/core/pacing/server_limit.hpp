#pragma once

#include <roseworks/instant.hpp>

#include <string>

namespace roseworks
{

/// The request rate that a backend server accepts from all routers together, as
/// announced by the server.
struct server_limit
{
    std::string server;    ///< id of the server's registry entry
    double per_second = 0; ///< 0: the server announces no limit
    instant seen;          ///< time of the announcement, by this router's clock
};

} // namespace roseworks
