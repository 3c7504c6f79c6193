#pragma once

#include "core/dissemination/copy_source_selector.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** The order in which a new version of the configuration passes from router to
    router.

    The router that read the version is the root. Of every other data centre the
    router with the highest capacity requests it from the root, and so does one
    more router of the root's own; within a data centre each of these passes it
   on to a few others, those with the highest capacity first. So no link carries
   more than a few copies, and the depth grows with the logarithm of the number
   of routers.

    All routers compute the same tree from the same list. Where the lists
    differ, a router may ask one that doesn't have the version yet, and asks
    another later.
*/
class distribution_tree
{
public:
    struct options
    {
        /// Routers of the same data centre that request from one router.
        std::size_t fan_out = 6;
    };

    explicit distribution_tree(options settings);

    /// Sets the known routers.
    /// @param all All routers that announced themselves, perhaps with `self`.
    void routers_listed(const copy_source& self, std::vector<copy_source> all);

    /// @param root Address of the router that read the version.
    /// @return     Address of the router to request it from. Empty if this
    ///             router is the root or knows no other router.
    std::optional<std::string> parent(std::string_view root) const;

    /// @return Whether any other router is known.
    bool has_others() const
    {
        return this->router_count > 1;
    }

    /// @return How many routers have a higher capacity than this one.
    std::size_t rank() const
    {
        return this->own_rank;
    }

private:
    options settings;
    std::string own_address;
    /// Addresses in this router's data centre, highest capacity first.
    std::vector<std::string> same_data_centre;
    std::size_t own_rank = 0;
    std::size_t router_count = 0;
};

} // namespace roseworks
