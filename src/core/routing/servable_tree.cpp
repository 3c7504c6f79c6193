#include "core/routing/servable_tree.hpp"

namespace roseworks::detail
{

namespace
{

constexpr std::size_t node_span =
    servable_tree::fan_out * servable_tree::fan_out;

/// Replaces the node by a copy unless it has the current version.
/// @return The node to modify.
template <class Node>
Node& make_writable(std::shared_ptr<Node>& node_ptr, table_version current)
{
    if (!node_ptr)
    {
        node_ptr = std::make_shared<Node>();
        node_ptr->version = current;
    }
    else if (node_ptr->version != current)
    {
        node_ptr = std::make_shared<Node>(*node_ptr);
        node_ptr->version = current;
    }
    return *node_ptr;
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
    const auto& child = branch.leaves[at / fan_out % fan_out];
    if (!child)
    {
        return nullptr;
    }
    const servable_routes& entry = child->entries[at % fan_out];
    return entry.id ? &entry : nullptr;
}

servable_routes& servable_tree::edit(servable_id id, table_version current)
{
    const std::size_t at = id.value;
    while (at / node_span >= this->root.size())
    {
        make_writable(this->root.emplace_back(), current);
    }
    node& branch = make_writable(this->root[at / node_span], current);
    leaf& child = make_writable(branch.leaves[at / fan_out % fan_out], current);
    return child.entries[at % fan_out];
}

void servable_tree::erase(servable_id id, table_version current)
{
    if (this->find(id) != nullptr)
    {
        this->edit(id, current) = servable_routes{};
    }
}

} // namespace roseworks::detail
