#pragma once

#include <roseworks/routing_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace roseworks::detail
{

/// Number of a publication; parts made since the last one may be edited.
using edition = std::uint64_t;

/** Models and adapters by id: a tree of three levels, copied on write.

    Copies share their parts. An editor copies a part that an older edition
    made, and edits one of its own edition in place; reference counts are never
    asked, so that readers on other threads don't matter. Hint.
*/
class servable_tree
{
public:
    static constexpr std::size_t fan_out = 64;

    /// @return The entry, null when there is none.
    const servable_routes* find(servable_id id) const;

    /// @return The entry to edit; empty, with id 0, when it is new.
    servable_routes& edit(servable_id id, edition current);

    void erase(servable_id id, edition current);

    /// Calls `visit` with each entry, by id.
    template <class Visit>
    void for_each(const Visit& visit) const
    {
        for (const auto& branch : this->root)
        {
            for (const auto& leaf_of : branch->leaves)
            {
                for (std::size_t i = 0; leaf_of && i < fan_out; ++i)
                {
                    if (leaf_of->entries[i].id)
                    {
                        visit(leaf_of->entries[i]);
                    }
                }
            }
        }
    }

private:
    struct leaf
    {
        edition made = 0;
        std::array<servable_routes, fan_out> entries;
    };

    struct node
    {
        edition made = 0;
        std::array<std::shared_ptr<leaf>, fan_out> leaves;
    };

    std::vector<std::shared_ptr<node>> root;
};

} // namespace roseworks::detail
