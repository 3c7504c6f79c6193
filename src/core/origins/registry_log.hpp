#pragma once

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <string>
#include <vector>

namespace roseworks
{

/// One write of a backend server to the registry.
struct registry_write
{
    std::string server; ///< id
    std::string service;
    software_version software; ///< 0: unknown
};

/// The writes that the registry still has, oldest first, also of servers that
/// have left.
struct registry_log
{
    std::vector<registry_write> writes;
    bool from_beginning = false; ///< none was ever deleted
};

/** Works out how long ago the oldest write was made. Writes have no time, but
    servers make them at regular intervals, and others when something changes.

    @param interval Between two regular writes of a server.
    @return         A lower bound, from the server with the fewest writes among
                    those that wrote during the whole time.
*/
duration time_covered(const registry_log& log, duration interval);

} // namespace roseworks
