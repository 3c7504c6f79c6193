#pragma once

#include "core/dissemination/copy_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks::testing
{

/** Many routers that start together and need the whole registry, in virtual
    time: from a store whose reads share a bandwidth, or from each other through
    their links. Whom they ask, and for how long, is `copy_choice`'s. */
class start_fleet
{
public:
    struct options
    {
        std::size_t routers = 300;
        std::size_t strong = 6; ///< the first ones
        std::size_t servers = 3000;
        copy_choice::options choice;
        /// These never start: their records are left from a run before.
        std::size_t gone_first = 0;
        std::uint64_t seed = 1;
    };

    struct outcome
    {
        duration last{};          ///< until the last router has the registry
        std::size_t listings = 0; ///< of the store
        double store_bytes = 0;
        double busiest_link_bytes = 0; ///< sent by one router
    };

    explicit start_fleet(options settings);

    outcome run();

private:
    struct router
    {
        copy_choice choice{copy_choice::options()};
        instant started;
        instant known = instant::max(); ///< when it has the registry
        instant link_free;
        double bytes_a_second = 0;
        double sent = 0;
    };

    /// @return When the router acts again; the end of time: it needn't.
    instant act(std::size_t number, instant now);
    instant list(router& one, instant now);
    instant copy(router& one, router& holder, instant now);

    options settings;
    std::vector<router> routers;
    instant store_free;
    outcome counted;
};

} // namespace roseworks::testing
