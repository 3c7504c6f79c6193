#pragma once

#include <roseworks/dispatcher.hpp>
#include <roseworks/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Counts the connections that broke while they carried one request, by backend
    server.

    Each counts as a crash until its server is found to have survived.

    Advisory: an error here cannot break a guarantee.
*/
class crash_count
{
public:
    /// Counts a broken connection.
    /// @return Whether the server must be examined. False if an earlier break
    ///         of the same server is already counted.
    bool record_break(engine_id engine, std::string_view address);

    /// Records the result of examining a server.
    /// @return Whether broken connections to that server were counted.
    bool record_finding(
        engine_id engine, std::string_view address, crash_finding finding);

    /// @return Number of broken connections that count as crashes.
    std::uint32_t total() const;

    /// @return Whether all servers with counted breaks were examined.
    bool all_examined() const;

private:
    struct server
    {
        engine_id engine;
        std::string address;
        std::uint32_t broken_connections = 0;
        bool examined = false;
    };

    std::vector<server>::iterator
    find(engine_id engine, std::string_view address);

    std::vector<server> servers;
};

} // namespace roseworks::detail
