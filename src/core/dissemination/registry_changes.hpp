#pragma once

#include "core/dissemination/registry_change.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Collects the changes of the registry that the other routers have to know.

    Servers write to the registry at each heartbeat, and whenever a copy of
    weights comes or goes: nearly all of that changes nothing for a router.
*/
class registry_changes
{
public:
    /// The whole registry was read: what comes later is compared with it.
    void listed(std::span<const server_entry> all);

    void read(const server_entry& entry);
    void removed(std::string_view id, std::uint64_t offset);

    /// @return What was collected since the last call, in order.
    std::vector<registry_change> take();

private:
    std::map<std::string, server_entry, std::less<>> known; ///< as told
    std::vector<registry_change> collected;
};

} // namespace roseworks
