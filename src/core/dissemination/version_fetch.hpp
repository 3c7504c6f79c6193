#pragma once

#include "core/dissemination/copy_source_selector.hpp"
#include "core/dissemination/distribution_tree.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks
{

/** Decides from whom a router requests a version of the configuration that it
    lacks, and when it reads the store instead.

    The first requests go to the router above this one in the distribution tree,
    the next one to the router that announced the version, the others to routers
    drawn at random. If all routers soon turned to the announcer, it would be
   too busy to pass the version down the tree. Only a few routers read the store
   early. The others do so only when the time limit for a new version is near:
   they reach no router that has it.
*/
class version_fetch
{
public:
    struct options
    {
        /// How long a router may hold a request until it has the version.
        duration hold_time = std::chrono::milliseconds(300);
        /// Requests to the router above this one before others are asked.
        std::size_t parent_attempts = 2;
        /// Routers that read the store after `store_delay`, the second one
        /// `store_interval` later than the first, and so on.
        std::size_t early_readers = 6;
        duration store_delay = std::chrono::milliseconds(600);
        duration store_interval = std::chrono::milliseconds(100);
        /// When all others read the store.
        duration last_resort = std::chrono::milliseconds(1300);
    };

    /// A request for the version.
    struct attempt
    {
        std::string address;
        duration hold_time{}; ///< zero: to be answered at once
    };

    explicit version_fetch(options settings);

    /// Another router announced a version that it has.
    void announced(std::string_view address);

    /// @param since When this router began to request the version.
    /// @return      The next request; empty if no other router is known.
    std::optional<attempt> next(
        instant since,
        const distribution_tree& tree,
        copy_source_selector& others);

    /// @return Whether the store may be read now.
    bool may_read_store(instant since, std::size_t rank, instant now) const;

private:
    options settings;
    std::string announcer;
    instant started; ///< of the requests counted by `attempts`
    std::size_t attempts = 0;
};

} // namespace roseworks
