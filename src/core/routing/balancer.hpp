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

/// A backend server of a target: a replica, or an address of a plain service.
struct backend
{
    route where; ///< engine and replica 0 for a plain service
    server_key server = 0;
    std::uint32_t in_flight = 0; ///< requests of this router for this target
    bool listed = true;          ///< in the table; if not, it is being drained
    bool leaving = false;        ///< its VM is about to leave
    server_health health;
};

/// The properties of a request that the choice of a backend depends on.
struct choice_query
{
    std::uint64_t prefix = 0;           ///< 0: none
    const prefix_map* cached = nullptr; ///< null: the prefix' hash decides
    std::uint16_t max_streams = 1;      ///< requests at once per backend
    std::span<const server_key> tried;  ///< servers of earlier attempts
};

/// @return The number of slots of a target, over all replicas, that are
///         reserved for urgent and normal requests.
constexpr std::uint32_t slots_reserved_from_batch(std::uint16_t max_streams)
{
    return max_streams > 1 ? 1 : 0;
}

/// Whether there are free slots, by class of request.
struct free_slots
{
    bool any = false;   ///< for urgent and normal requests
    bool batch = false; ///< for batch requests too
};

/** Chooses the backend server for a request.

    Candidates are the replicas that are listed, not leaving and not ejected,
    and have a free slot. Replicas in this router's data centre are preferred
    until they are full or loaded well above the mean.

    A request with a prompt prefix goes to the first of these whose load is at
    most 1.25 times the mean plus one:
    - the least loaded replica that is known to cache the prefix,
    - the replica that the prefix hashes to,
    - the least loaded replica that cached the prefix by stale information.
    All other requests go to the less loaded of two random candidates. A retry
    goes to a server that was not tried yet, if there is one.

    The load of a backend counts by the time that it takes, where its pace is
    estimated: (requests in flight + 1) x pace.

    Batch requests leave one slot of all replicas together free if a replica has
    more than one slot. One for all is enough: the more replicas there are, the
    sooner one of them has a free slot for an urgent request.

    Advisory: nothing is decided by it. Deterministic for a given seed.
*/
class balancer
{
public:
    balancer(std::string own_data_centre, std::uint64_t seed);

    /// @return Indices of the backends that are listed, not leaving, not paused
    ///         and not ejected. At most half of the backends are left out as
    ///         ejected, since that is a guess. Paused ones are left out unless
    ///         all are paused: then requests may wait for the end.
    static std::vector<std::size_t> usable(
        std::span<const backend> all, const server_loads& loads, instant now);

    /// @return Whether a request may be sent to the backend now.
    static bool has_slot(
        const backend& one,
        std::uint16_t max_streams,
        const server_loads& loads,
        instant now);

    /// @return Which classes of requests find a free slot on these backends.
    static free_slots slots(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        std::uint16_t max_streams,
        const server_loads& loads,
        instant now);

    /// @return Index of the backend to use; empty when the request has to wait.
    std::optional<std::size_t> choose(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        const choice_query& query,
        const server_loads& loads,
        instant now);

private:
    std::vector<std::size_t> prefer_local(
        std::span<const backend> all, std::span<std::size_t const> among) const;
    std::optional<std::size_t> choose_by_prefix(
        std::span<const backend> all,
        std::span<std::size_t const> among,
        const choice_query& query,
        const server_loads& loads,
        instant now) const;
    std::size_t random_index(std::size_t count);

    std::string data_centre;
    std::mt19937_64 random;
};

} // namespace roseworks::detail
