#pragma once

#include "core/dissemination/copy_source_selector.hpp"
#include "core/dissemination/distribution_tree.hpp"
#include "core/dissemination/version_fetch.hpp"
#include "event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace roseworks::testing
{

/** Simulates, in virtual time, how one version of the configuration reaches all
    routers. One router reads it from the store and announces it. The others get
    it from each other or from the store, over links that differ in speed.
    `distribution_tree` and `version_fetch` decide whom they ask.
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
        double lost_announcements = 0; ///< probability for each datagram
        /// So many of the other routers, those with the highest capacity, are
        /// gone, and their records are left.
        std::size_t gone = 0;
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
        distribution_tree tree{distribution_tree::options()};
        version_fetch fetches{version_fetch::options()};
        double bytes_per_second = 0;
        instant behind_since;
        instant sending_until;
        bool is_gone = false;
        bool is_behind = false; ///< knows that there is a newer version
        bool has_version = false;
        std::vector<std::size_t> held; ///< routers that wait for the version
        double sent = 0;
    };

    void announce(duration delay);
    /// A router that lacks the version tries to get it.
    void fetch(std::size_t number);
    void request(std::size_t from, std::size_t to, duration hold_time);
    void read_from_store(std::size_t number);
    void copy(std::size_t from, std::size_t to);
    void received(std::size_t number);
    void retry(std::size_t number, duration delay);

    options settings;
    event_queue queue;
    std::mt19937_64 random;
    std::vector<router> routers;
    instant store_free;
    instant announced_at;
    outcome result;
};

} // namespace roseworks::testing
