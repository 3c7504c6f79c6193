#pragma once

#include "core/routing/server_pace.hpp"

#include <roseworks/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace roseworks::detail
{

/// A backend server: an engine's id, or the hash of a service's address.
using server_key = std::uint64_t;

/// @return The key of an engine.
constexpr server_key key_of(engine_id engine)
{
    return engine.value;
}

/// @return The key of a plain service's address.
server_key key_of_address(std::string_view address);

/// @return The key of a server that a grant names.
server_key key_of(const server_place& server);

/// Load of one backend server, as seen from this router.
struct server_state
{
    std::uint32_t own = 0;     ///< granted here and not finished
    std::uint32_t foreign = 0; ///< others' at the last report
    instant reported = instant::min();
    ticket exclusive; ///< a suspect request runs alone here
    ticket held;      ///< a suspect request waits for it to be idle
    server_pace pace; ///< of what is sent there
};

/** Load of the backend servers: their lagged reports, corrected by this
    router's own requests. Hint. */
class server_loads
{
public:
    /// A report older than this says nothing.
    static constexpr duration report_lifetime = std::chrono::seconds(12);

    server_state& at(server_key server)
    {
        return this->states[server];
    }

    void reported(const load_report& report, instant now);

    /// @return Requests of other routers there, by the last fresh report.
    std::uint32_t foreign(server_key server, instant now) const;

    /// So many routers are alive, this one included; 0: not known.
    void routers_alive(std::size_t count)
    {
        this->routers = count;
    }

    /** Requests that this router may run on a server at once.

        What others leave free, but never less than its equal share: a router
        that found the server idle would else keep all of it.

        @param streams That the server runs at once.
    */
    std::uint32_t
    limit(server_key server, std::uint32_t streams, instant now) const;

    /// @return Own requests and those of others.
    std::uint32_t load(server_key server, instant now) const;

    /// @return Whether it named no rate limit, or there is a permit for it.
    bool may_send(server_key server, instant now) const;

    /// @return Null when nothing is known of the server.
    const server_pace* pace_of(server_key server) const;

    /// @return Whether it named a rate limit.
    bool is_limited(server_key server) const;

    /// @return Whether a suspect request keeps others away.
    bool reserved(server_key server) const;

private:
    std::unordered_map<server_key, server_state> states;
    std::size_t routers = 0;
};

} // namespace roseworks::detail
