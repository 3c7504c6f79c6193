#pragma once

#include "core/routing/servable_tree.hpp"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Maps names of models and adapters to their ids: 256 copy-on-write shards.

    Stores a 32-bit hash and an id for each name, eight bytes in all. The name
    itself is compared in the entry that the id refers to. Changes only when an
    entry is added, renamed or removed. Advisory: nothing is decided by it.
*/
class name_index
{
public:
    name_index();

    /// @param entries The entries that hold the names.
    /// @return        Null when no entry has the name.
    const servable_routes*
    find(std::string_view name, const servable_tree& entries) const;

    void insert(std::string_view name, servable_id id, table_version current);
    void erase(std::string_view name, servable_id id, table_version current);

private:
    static constexpr std::size_t shard_count = 256;

    struct slot
    {
        std::uint32_t hash = 0;
        servable_id id;

        bool operator==(const slot&) const = default;

        bool operator<(const slot& other) const
        {
            return this->hash != other.hash ? this->hash < other.hash
                                            : this->id.value < other.id.value;
        }
    };

    struct shard
    {
        table_version version = 0;
        std::vector<slot> slots; ///< sorted
    };

    struct directory
    {
        table_version version = 0;
        std::array<std::shared_ptr<shard>, shard_count> shards;
    };

    shard& edit(std::size_t index, table_version current);

    std::shared_ptr<directory> all;
};

} // namespace roseworks::detail
