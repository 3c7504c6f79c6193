#include "core/routing/servable_tree.hpp"

namespace roseworks::detail
{

namespace
{

constexpr std::size_t node_span =
    servable_tree::fan_out * servable_tree::fan_out;

/// @return The part itself when this edition made it, else a copy of it.
template <class Part>
Part& own(std::shared_ptr<Part>& part, edition current)
{
    if (!part)
    {
        part = std::make_shared<Part>();
        part->made = current;
    }
    else if (part->made != current)
    {
        part = std::make_shared<Part>(*part);
        part->made = current;
    }
    return *part;
}

} // namespace

const servable_routes* servable_tree::find(servable_id id) const
{
    const std::size_t at = id.value;
    if (!id || at / node_span >= this->root.size())
    {
        return nullptr;
    }
    const node& branch = *this->root[at / node_span];
    const auto& leaf_of = branch.leaves[at / fan_out % fan_out];
    if (!leaf_of)
    {
        return nullptr;
    }
    const servable_routes& entry = leaf_of->entries[at % fan_out];
    return entry.id ? &entry : nullptr;
}

servable_routes& servable_tree::edit(servable_id id, edition current)
{
    const std::size_t at = id.value;
    while (at / node_span >= this->root.size())
    {
        own(this->root.emplace_back(), current);
    }
    node& branch = own(this->root[at / node_span], current);
    leaf& leaf_of = own(branch.leaves[at / fan_out % fan_out], current);
    return leaf_of.entries[at % fan_out];
}

void servable_tree::erase(servable_id id, edition current)
{
    if (this->find(id) != nullptr)
    {
        this->edit(id, current) = servable_routes{};
    }
}

} // namespace roseworks::detail
