#pragma once

#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace roseworks
{

/// A router that copies can be requested from.
struct copy_source
{
    std::string name;
    std::string address;
    double capacity = 1; ///< of its VM, as announced by the router
    std::string data_centre;
};

/** Chooses the routers that a router requests copies of the store's topics
    from, and the routers that read the store first.

    If all routers started at the same time and each listed the whole registry,
    the store would have to serve as many bulk reads as there are routers.
    Therefore only the few routers with the highest capacity in each data centre
    read the store at once. The others request a copy, mostly within their data
    centre because traffic between data centres is the most expensive. A router
    that gets no copy in time reads the store itself, so that none of them
    depends on the first readers.
*/
class copy_source_selector
{
public:
    struct options
    {
        /// Routers of each data centre that read the store at once.
        std::size_t first_readers = 4;
        /// A router without any data reads the store itself if it got no copy
        /// for this time, multiplied by the number of times that the number of
        /// routers ahead of it doubled. If the first readers fail, the others
        /// thus read the store one after another instead of all at once.
        duration store_fallback_delay = std::chrono::milliseconds(1500);
        std::uint64_t seed = 1;
    };

    explicit copy_source_selector(options settings);

    /// Sets the known routers.
    /// @param self    This router.
    /// @param routers All routers that announced themselves, perhaps with
    ///                this one.
    void
    routers_listed(const copy_source& self, std::vector<copy_source> routers);

    /// @return Whether this router is one of those that read the store at once.
    ///         This is the case, too, when it knows of no other router.
    bool is_first_reader() const
    {
        return this->is_first;
    }

    /// @param since When this router began to request copies, having no data.
    /// @return      Whether it still requests copies instead of reading the
    ///              store.
    bool awaits_copy(instant since, instant now) const
    {
        return now - since <
               this->settings.store_fallback_delay * this->doublings;
    }

    /// @return The address of the router to ask next; empty when no other is
    ///         known. Of four, two are first readers of this data centre, one
    ///         is any router of this data centre and one any router at all. The
    ///         latter two are drawn in proportion to their capacity.
    std::optional<std::string> next();

private:
    /// Routers that are drawn in proportion to their capacity.
    struct weighted_routers
    {
        void clear();
        void add(const copy_source& one);
        const std::string& draw(std::mt19937_64& random) const;

        std::vector<std::string> addresses;
        std::vector<double> capacities;
    };

    options settings;
    std::vector<std::string> first_reader_addresses;
    weighted_routers same_data_centre;
    weighted_routers all_routers; ///< of all data centres
    bool is_first = true;
    /// How often the number of first readers doubles until it exceeds the
    /// number of routers ahead of this one.
    int doublings = 0;
    std::size_t request_count = 0; ///< routers returned by `next` so far
    std::mt19937_64 random;
};

} // namespace roseworks
