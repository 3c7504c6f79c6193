#pragma once

#include <roseworks/dispatcher.hpp>
#include <roseworks/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** The connections that broke under one request, by backend server.

    Each counts as a crash until its server is found to have survived. Hint.
*/
class crash_count
{
public:
    /// A connection broke.
    /// @return Whether the server has to be examined; false while an earlier
    ///         break there counts.
    bool broke(engine_id engine, std::string_view address);

    /// A server was examined.
    /// @return Whether breaks there were counted.
    bool
    examined(engine_id engine, std::string_view address, crash_finding finding);

    /// @return Breaks that count.
    std::uint32_t total() const;

    /// @return Whether all that count were examined.
    bool settled() const;

private:
    struct server
    {
        engine_id engine;
        std::string address;
        std::uint32_t breaks = 0;
        bool examined = false;
    };

    std::vector<server>::iterator
    find(engine_id engine, std::string_view address);

    std::vector<server> servers;
};

} // namespace roseworks::detail
