#pragma once

#include "core/dissemination/registry_change.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** The registry as routing has to know it, and the changes of it that were read
    here and that the other routers have to be told.

    Servers write to the registry at each heartbeat, and whenever a copy of
    weights comes or goes: nearly all of that changes nothing for a router.
    Whoever knows all up to one offset knows the same, so that a change since
    then means the same to all.
*/
class registry_changes
{
public:
    /// The whole registry was read: what comes later is compared with it.
    void listed(std::span<const server_entry> all);

    void read(const server_entry& entry);
    void removed(std::string_view id, std::uint64_t offset);

    /** Another router read a change.

        @return The entry as it is now; empty when it is gone, or when it
                isn't known of what it is a change.
    */
    std::optional<server_entry> told(const registry_change& change);

    /// @return Whether there are changes, and all are of what engines hold:
    ///         none of a server that came, went or leaves.
    bool only_models() const;

    /// @return The last change of each server that was read here since the last
    ///         call, in order.
    std::vector<registry_change> take();

private:
    void collect(registry_change change);

    std::map<std::string, server_entry, std::less<>> known; ///< by id
    std::map<std::string, registry_change, std::less<>> collected;
};

} // namespace roseworks
