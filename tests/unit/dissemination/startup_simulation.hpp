#pragma once

#include "core/dissemination/copy_source_selector.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace roseworks::testing
{

/** Simulates, in virtual time, many routers that start together and need the
    whole registry. They get it from a store whose reads share one bandwidth, or
    from each other over their network links. `copy_source_selector` decides
   whom they ask and for how long. */
class startup_simulation
{
public:
    struct options
    {
        std::size_t routers = 300;
        std::size_t strong_routers = 6; ///< the first routers have a fast link
        std::size_t servers = 3000;
        copy_source_selector::options choice;
        /// So many of the first routers never start. Their records are left
        /// over from an earlier run.
        std::size_t absent_routers = 0;
        std::uint64_t seed = 1;
    };

    struct outcome
    {
        duration last{};          ///< until the last router has the registry
        std::size_t listings = 0; ///< listings read from the store
        double store_bytes = 0;
        double busiest_link_bytes = 0; ///< sent by one router
    };

    explicit startup_simulation(options settings);

    outcome run();

private:
    struct router
    {
        copy_source_selector choice{copy_source_selector::options()};
        instant started;
        instant known = instant::max(); ///< when it got the registry
        instant link_free;
        double bytes_per_second = 0;
        double sent = 0;
    };

    /// @return When the router acts again; `instant::max()`: never.
    instant step(std::size_t number, instant now);
    instant read_from_store(router& one, instant now);
    instant copy_from(router& one, router& peer, instant now);

    options settings;
    std::vector<router> routers;
    instant store_free;
    outcome result;
};

} // namespace roseworks::testing
