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

/** The part of the registry that affects routing, and the changes of it that
    this router has read and not announced to the other routers yet.

    Servers write to the registry at each heartbeat, and whenever a copy of
    weights is added or removed. Nearly all of these writes change nothing for a
    router and are left out. All routers that know the registry up to the same
    offset have the same entries, so that a later change has the same effect on
    each of them.
*/
class registry_change_tracker
{
public:
    /// Replaces all entries by a listing of the whole registry. Discards the
    /// changes that were not announced yet.
    void listed(std::span<const server_entry> all);

    /// Sets the offset that the last listing is valid for.
    void set_listing_offset(std::uint64_t offset);

    /// This router has read an entry from the store.
    void read(const server_entry& entry);

    /// This router has read from the store that an entry was removed.
    void removed(std::string_view id, std::uint64_t offset);

    /** Applies a change that another router announced.

        @return The new entry; empty when it was removed, or when the change is
                one of models and the entry is unknown.
    */
    std::optional<server_entry> apply_announced(const registry_change& change);

    /// @return All entries in full and all known removals, for a router without
    ///         any data.
    std::vector<registry_change> all() const;

    /// @return The offset from which on all removals are known; empty: unknown.
    std::optional<std::uint64_t> removals_known_from() const
    {
        return this->removals_from;
    }

    /// Takes over the removals in another router's copy of the registry, so
    /// that this router can answer `since` from the same offset.
    /// @param from All removals from this offset on are in `changed`.
    void import_removals(
        std::uint64_t from, std::span<const registry_change> changed);

    /** @return The changes from an offset on, in order, for a router that knows
                all before it; empty when the removals since then are not known.
    */
    std::optional<std::vector<registry_change>>
    since(std::uint64_t offset) const;

    /// @return Whether there are changes to announce and all are changes of the
    ///         models on engines: none is a server that was added, was removed
    ///         or is leaving.
    bool only_model_changes() const;

    /// This router has read all changes from an offset on, which have to be
    /// announced.
    void mark_unannounced_from(std::uint64_t offset);

    /// @return The offset from which on the changes read by this router are not
    ///         announced; empty: none are left to announce.
    std::optional<std::uint64_t> unannounced_from() const
    {
        return this->first_unannounced;
    }

    /// @return The last change of each server that this router has read since
    ///         the last call, in order. They count as announced from now on.
    std::vector<registry_change> take_unannounced();

private:
    void add_pending(registry_change change);
    void remember_removal(std::string_view id, std::uint64_t offset);

    struct removal
    {
        std::string id;
        std::uint64_t offset = 0;
    };

    std::map<std::string, server_entry, std::less<>> known; ///< by id
    std::map<std::string, registry_change, std::less<>> pending;
    std::optional<std::uint64_t> first_unannounced;
    std::deque<removal> removals; ///< the last removals, in order
    /// All removals from this offset on are known; empty: unknown.
    std::optional<std::uint64_t> removals_from;
};

} // namespace roseworks
