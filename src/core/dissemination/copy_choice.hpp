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

/// A router that may be asked for a copy.
struct copy_holder
{
    std::string name;
    std::string address;
    double capacity = 1; ///< of its VM, as it announced itself
    std::string data_centre;
};

/** Whom a router asks for a copy of what the store keeps, and which routers
    read the store first.

    After a start of all, each listing the whole registry would ask the store
    for as many bulk reads as there are routers. So the few strongest of each
    data centre read it, and the others of it ask these, and anybody, until one
    has it: bytes between data centres cost the most. Who got no copy for too
    long reads the store itself: nothing hangs on the few.
*/
class copy_choice
{
public:
    struct options
    {
        /// Routers of a data centre that read the store at once.
        std::size_t first_readers = 4;
        /// A router that knows nothing yet reads the store itself without a
        /// copy after so long, and so much later each time that the routers
        /// before it double: were the first readers gone, all would go at once.
        duration patience = std::chrono::milliseconds(1500);
        std::uint64_t seed = 1;
    };

    explicit copy_choice(options settings);

    /// All routers that announced themselves, this one among them or not.
    void
    routers_listed(const copy_holder& self, std::vector<copy_holder> routers);

    /// @return Whether this router is one of those that read the store first,
    ///         or knows of no other.
    bool reads_first() const
    {
        return this->is_first;
    }

    /// @return Whether one that knows nothing and has asked since then asks on,
    ///         before it goes to the store.
    bool is_patient(instant since, instant now) const
    {
        return now - since < this->settings.patience * this->doublings;
    }

    /// @return Whom to ask next; empty when no other is known. Every second one
    ///         is a first reader of this data centre, every fourth anybody at
    ///         all, the rest of this data centre; more often the strong.
    std::optional<std::string> next();

private:
    /// Routers, and how often each is drawn.
    struct drawn_routers
    {
        void clear();
        void add(const copy_holder& one);
        const std::string& draw(std::mt19937_64& random) const;

        std::vector<std::string> addresses;
        std::vector<double> capacities;
    };

    options settings;
    std::vector<std::string> first; ///< addresses of first readers
    drawn_routers near;             ///< of this data centre
    drawn_routers all;              ///< anywhere
    bool is_first = true;
    int doublings = 0;     ///< from the first readers to this router
    std::size_t asked = 0; ///< routers, so far
    std::mt19937_64 random;
};

} // namespace roseworks
