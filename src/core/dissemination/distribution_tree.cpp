#include "core/dissemination/distribution_tree.hpp"

#include <algorithm>
#include <utility>

namespace roseworks
{

distribution_tree::distribution_tree(options chosen)
    : settings(chosen)
{
}

void distribution_tree::routers_listed(
    const copy_source& self, std::vector<copy_source> all)
{
    const auto is_self = [&self](const copy_source& one)
    {
        return one.name == self.name;
    };
    if (std::ranges::none_of(all, is_self))
        all.push_back(self);
    std::ranges::sort(
        all,
        {},
        [](const copy_source& one)
        {
            return std::pair(-one.capacity, std::string_view(one.name));
        });
    this->own_rank = static_cast<std::size_t>(
        std::ranges::find_if(all, is_self) - all.begin());
    this->own_address = self.address;
    this->router_count = all.size();
    this->same_data_centre.clear();
    for (const copy_source& one : all)
    {
        if (one.data_centre == self.data_centre)
            this->same_data_centre.push_back(one.address);
    }
}

std::optional<std::string>
distribution_tree::parent(std::string_view root) const
{
    if (root.empty() || root == this->own_address)
        return std::nullopt;
    std::vector<std::string_view> order(
        this->same_data_centre.begin(), this->same_data_centre.end());
    const auto local_root = std::ranges::find(order, root);
    if (local_root != order.end())
        std::rotate(order.begin(), local_root, local_root + 1);
    const auto own = std::ranges::find(order, this->own_address);
    if (own == order.end() || own == order.begin())
        return std::string(root);
    const auto position = static_cast<std::size_t>(own - order.begin());
    // The root is usually the owner of placement, which is busy. It has one
    // child in its own data centre, which passes the version on to the others.
    const std::size_t first = local_root != order.end() ? 1 : 0;
    if (position <= first)
        return std::string(order.front());
    return std::string(
        order[first + (position - first - 1) / this->settings.fan_out]);
}

} // namespace roseworks
