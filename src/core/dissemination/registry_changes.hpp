#pragma once

#include "core/dissemination/registry_change.hpp"

#include <cstdint>
#include <deque>
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

    /// What was listed is known as of this offset.
    void listed_as_of(std::uint64_t offset);

    void read(const server_entry& entry);
    void removed(std::string_view id, std::uint64_t offset);

    /** Another router read a change.

        @return The entry as it is now; empty when it is gone, or when it
                isn't known of what it is a change.
    */
    std::optional<server_entry> told(const registry_change& change);

    /// @return Every entry that is known, whole, and the removals that are
    ///         remembered, for one who knows none.
    std::vector<registry_change> all() const;

    /// @return All removals from this offset on are remembered; empty: none
    ///         surely.
    std::optional<std::uint64_t> remembered_from() const
    {
        return this->removals_from;
    }

    /// Takes what another router remembers beside what it listed: this one can
    /// tell the same then.
    void remember(std::uint64_t from, std::span<const registry_change> changed);

    /** @return What changed from an offset on, in order, for one who knows all
                before it; empty when it isn't known here any more.
    */
    std::optional<std::vector<registry_change>>
    since(std::uint64_t offset) const;

    /// @return Whether there are changes, and all are of what engines hold:
    ///         none of a server that came, went or leaves.
    bool only_models() const;

    /// Everything from an offset on was read here, and is to be told.
    void to_tell_from(std::uint64_t offset);

    /// @return Since which offset what was read here wasn't told; empty: there
    ///         is nothing.
    std::optional<std::uint64_t> untold_from() const
    {
        return this->first_untold;
    }

    /// @return The last change of each server that was read here since the last
    ///         call, in order. Nothing is untold then.
    std::vector<registry_change> take();

private:
    void collect(registry_change change);
    void remember_removal(std::string_view id, std::uint64_t offset);

    struct removal
    {
        std::string id;
        std::uint64_t offset = 0;
    };

    std::map<std::string, server_entry, std::less<>> known; ///< by id
    std::map<std::string, registry_change, std::less<>> collected;
    std::optional<std::uint64_t> first_untold;
    std::deque<removal> removals; ///< the last ones, in order
    /// Removals from here on are all remembered; empty: not known yet.
    std::optional<std::uint64_t> removals_from;
};

} // namespace roseworks
