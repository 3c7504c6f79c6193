#pragma once

#include <roseworks/routing_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace roseworks::detail
{

/// Version of a snapshot. Nodes that were created since the last publication
/// have the current version and may be modified in place.
using table_version = std::uint64_t;

/** Models and adapters by id: a copy-on-write tree of three levels.

    Copies of the tree share their nodes. An update copies a node of an older
    version and modifies a node of the current version in place. It never relies
    on reference counts, so it does not depend on readers on other threads.
    Advisory: nothing is decided by it.
*/
class servable_tree
{
public:
    static constexpr std::size_t fan_out = 64;

    /// @return Null when there is no such entry.
    const servable_routes* find(servable_id id) const;

    /// @return The entry to modify; a new one is empty and has id 0.
    servable_routes& edit(servable_id id, table_version current);

    void erase(servable_id id, table_version current);

    /// Calls `visit` with each entry, in order of the ids.
    template <class Visit>
    void for_each(const Visit& visit) const
    {
        for (const auto& branch : this->root)
        {
            for (const auto& child : branch->leaves)
            {
                for (std::size_t i = 0; child && i < fan_out; ++i)
                {
                    if (child->entries[i].id)
                    {
                        visit(child->entries[i]);
                    }
                }
            }
        }
    }

private:
    struct leaf
    {
        table_version version = 0;
        std::array<servable_routes, fan_out> entries;
    };

    struct node
    {
        table_version version = 0;
        std::array<std::shared_ptr<leaf>, fan_out> leaves;
    };

    std::vector<std::shared_ptr<node>> root;
};

} // namespace roseworks::detail
