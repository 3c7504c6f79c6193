#pragma once

#include <roseworks/instant.hpp>

#include <string>

namespace roseworks
{

/// What a backend server said of the requests that it takes from all routers
/// together.
struct server_limit
{
    std::string server;    ///< id of its entry
    double per_second = 0; ///< 0: it names no limit
    instant seen;          ///< it said so then, by this router's clock
};

} // namespace roseworks
