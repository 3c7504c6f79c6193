#pragma once

#include "core/dissemination/copy_source_selector.hpp"
#include "event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace roseworks::testing
{

/** Simulates, in virtual time, how one version of the configuration reaches all
    routers. One router reads it from the store and announces it. The others get
    it from each other or from the store, over links that differ in speed.
*/
class version_simulation
{
public:
    struct options
    {
        std::size_t routers = 65;
        std::size_t data_centres = 3;
        std::size_t record_bytes = 1'400'000;
        /// What the changes since the version before take.
        std::size_t change_bytes = 60'000;
        std::uint64_t seed = 1;
    };

    struct outcome
    {
        duration last{};             ///< until the last router has the version
        std::size_t store_reads = 0; ///< reads that contained the version
        double busiest_link_bytes = 0; ///< sent by one router
    };

    explicit version_simulation(options settings);

    outcome run();

private:
    struct router
    {
        copy_source source;
        copy_source_selector choice{copy_source_selector::options()};
        double bytes_per_second = 0;
        instant behind_since;
        instant sending_until;
        bool has_version = false;
        double sent = 0;
    };

    /// A router that lacks the version tries to get it.
    void fetch(std::size_t number);
    void read_from_store(std::size_t number);
    void copy(std::size_t from, std::size_t to, double bytes);
    void received(std::size_t number);
    void retry(std::size_t number);

    options settings;
    event_queue queue;
    std::vector<router> routers;
    instant store_free;
    instant announced_at;
    outcome result;
};

} // namespace roseworks::testing
