#pragma once

#include "core/routing/ejection.hpp"
#include "core/routing/prefix_map.hpp"
#include "core/routing/server_loads.hpp"

#include <roseworks/routing_table.hpp>

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace roseworks::detail
{

/// One backend server of a target: a replica or a plain service's address.
struct backend
{
    route where; ///< engine and replica 0 for a plain service
    server_key server = 0;
    std::uint32_t in_flight = 0; ///< of this target, granted here
    bool listed = true;          ///< in the table; else its last ones run out
    bool leaving = false;        ///< its VM leaves
    server_health health;
};

/// What a choice depends on.
struct choice_query
{
    std::uint64_t prefix = 0;           ///< 0: none
    const prefix_map* cached = nullptr; ///< null: by hash only
    std::uint16_t max_streams = 1;
    std::span<const server_key> tried; ///< servers of earlier attempts
};

/// @return Slots of all the replicas of a target that batch work leaves free.
constexpr std::uint32_t kept_for_better(std::uint16_t max_streams)
{
    return max_streams > 1 ? 1 : 0;
}

/// Whether there are free slots for each kind of work.
struct free_slots
{
    bool any = false;   ///< for urgent and normal work
    bool batch = false; ///< for batch work too
};

/** Chooses the backend server for a request.

    Of the replicas that are listed, not leaving and not ejected, with a free
    slot: those of the own data centre first, others when these are full or
   loaded well above the mean. The least loaded of the replicas known to hold
   the prompt's prefix, else the one that the prefix hashes to, else the least
   loaded of those that held it by stale knowledge, each while its load is at
   most 1.25 times the mean and one; else the less loaded of two drawn at
   random. A retry goes to another server where there is one.

    Batch work leaves one slot of all the replicas together free, where a
    replica has more than one: with several replicas a slot frees the sooner,
    so that urgent work need not find one kept free on each of them.

    Hint. Deterministic for a seed.
*/
class balancer
{
public:
    balancer(std::string own_data_centre, std::uint64_t seed);

    /// @return Indices of the backends that may be used: listed, not leaving,
    ///         and not ejected, of which at most half are left out.
    static std::vector<std::size_t>
    usable(std::span<const backend> all, instant now);

    /// @return Whether a request may start there now.
    static bool has_slot(
        const backend& one,
        std::uint16_t max_streams,
        const server_loads& loads,
        instant now);

    /// @return Which work finds a free slot among these.
    static free_slots slots(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        std::uint16_t max_streams,
        const server_loads& loads,
        instant now);

    /// @return Index of the backend to use, empty when the request must wait.
    std::optional<std::size_t> choose(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        const choice_query& query,
        const server_loads& loads,
        instant now);

private:
    std::vector<std::size_t> prefer_own(
        std::span<const backend> all, std::span<std::size_t const> among) const;
    std::optional<std::size_t> by_prefix(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        const choice_query& query,
        const server_loads& loads,
        instant now) const;
    std::size_t draw(std::size_t count);

    std::string data_centre;
    std::mt19937_64 random;
};

} // namespace roseworks::detail
