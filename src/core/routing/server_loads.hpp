#pragma once

#include "core/routing/server_pause.hpp"
#include "core/routing/server_permits.hpp"

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace roseworks::detail
{

/// Identifies a backend server: the id of an engine, or the hash of the address
/// of a plain service.
using server_key = std::uint64_t;

constexpr server_key key_of(engine_id engine)
{
    return engine.value;
}

/// @param address Address of a plain service.
server_key key_of_address(std::string_view address);

/// @param server The server that a grant names.
server_key key_of(const server_place& server);

/// The load of one backend server, as seen by this router.
struct server_state
{
    std::uint32_t own = 0;     ///< requests of this router in flight
    std::uint32_t foreign = 0; ///< requests of others at the last report
    instant reported = instant::min();
    /// Estimated time of the server in percent of the mean, until `pace_until`.
    std::uint32_t pace = 100; ///< at least 1
    instant pace_until = instant::min();
    /// The suspect request that runs alone on the server.
    ticket exclusive;
    /// The suspect request that waits for the server to be idle.
    ticket reserved_by;
    /// Used if the server has a rate limit.
    server_permits permits;
    server_pause pause;
};

/** The loads of the backend servers: their reports, which lag behind, corrected
    by the requests of this router. Advisory: nothing is decided by it. */
class server_loads
{
public:
    /// An older report is ignored.
    static constexpr duration report_lifetime = std::chrono::seconds(12);
    /// The pace of a server without an estimate.
    static constexpr std::uint32_t mean_pace = 100;

    server_state& at(server_key server)
    {
        return this->states[server];
    }

    void reported(const load_report& report, instant now);

    /// @param percent See `dispatcher::pace_estimated`.
    void pace_estimated(engine_id engine, std::uint32_t percent, instant until);

    /// @return Estimated time of the server in percent of the mean; `mean_pace`
    ///         without a valid estimate.
    std::uint32_t pace(server_key server, instant now) const;

    /// @return Requests of other routers on the server by its last report; 0
    ///         when this is older than `report_lifetime`.
    std::uint32_t foreign(server_key server, instant now) const;

    /// Sets the number of live routers, including this one; 0: not known.
    void routers_alive(std::size_t count)
    {
        this->routers = count;
    }

    /** Returns how many requests this router may run on a server at once.

        This is the number of streams that other routers leave free, but never
        less than an equal share. Without the share, a router that found the
        server idle would keep all of its streams. The share of a server that
        is slower than the mean is smaller in proportion.

        @param streams The number of requests that the server runs at once.
    */
    std::uint32_t
    limit(server_key server, std::uint32_t streams, instant now) const;

    /// @return Requests of this router and of others on the server.
    std::uint32_t load(server_key server, instant now) const;

    /// @return The load that would keep a server of the mean pace busy for as
    ///         long: (load + 1) x pace / 100 - 1. Exactly `load` at the mean
    ///         pace; above -1.
    /// @param assumed Least result for a server without a recent report.
    double paced_load(server_key server, instant now, double assumed = 0) const;

    /// @return Whether the server reported its load within `report_lifetime`.
    bool has_report(server_key server, instant now) const;

    /// @return Whether the server has no rate limit, or a permit for it is
    ///         valid.
    bool may_send(server_key server, instant now) const;

    /// @return Null for an unknown server.
    const server_permits* permits_of(server_key server) const;

    /// @return Whether the server has a rate limit, or its places are counted.
    bool is_limited(server_key server) const;

    bool counts_places(server_key server) const;

    /// @return Whether the server wants no requests now.
    bool is_paused(server_key server, instant now) const;

    /// @return The end of the server's latest pause; `min`: there was none.
    instant pause_end(server_key server) const;

    /// @return Whether no pause, and no slow start after one, keeps a further
    ///         request from the server.
    bool pause_allows(server_key server, instant now) const;

    /// @return Whether a suspect request runs alone on the server or waits to
    ///         do so.
    bool reserved(server_key server) const;

private:
    std::unordered_map<server_key, server_state> states;
    std::size_t routers = 0;
};

} // namespace roseworks::detail
