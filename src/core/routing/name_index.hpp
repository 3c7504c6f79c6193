#pragma once

#include "core/routing/servable_tree.hpp"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace roseworks::detail
{

/** Ids of models and adapters by name, in 256 shards copied on write.

    Holds no names: eight bytes an entry, the names are the entries' own.
    Changes only when an entry comes or goes. Hint.
*/
class name_index
{
public:
    name_index();

    /// @param entries Where the names are.
    const servable_routes*
    find(std::string_view name, const servable_tree& entries) const;

    void insert(std::string_view name, servable_id id, edition current);
    void erase(std::string_view name, servable_id id, edition current);

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
        edition made = 0;
        std::vector<slot> slots; ///< sorted
    };

    struct directory
    {
        edition made = 0;
        std::array<std::shared_ptr<shard>, shard_count> shards;
    };

    shard& edit(std::size_t index, edition current);

    std::shared_ptr<directory> all;
};

} // namespace roseworks::detail
