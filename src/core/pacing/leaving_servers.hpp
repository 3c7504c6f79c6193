#pragma once

#include "core/crashes/server_life.hpp"
#include "core/pacing/server_limits.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/// @return Whether an entry of an update states that a server leaves.
bool is_leaving_server_key(std::string_view key);

/** Which servers leave, as they state themselves or as other routers report.

    What a server states to this router holds until the end of its life. What
    another router reports is advisory: it expires, and an answer to a later
    request without the statement refutes it. So a router that is wrong can't
    take servers away for long.

    The class does no I/O and reads no clock: callers pass in the time and
    collect messages and changes.
*/
class leaving_servers
{
public:
    /// Begin or end of the time in which a server counts as leaving.
    struct change
    {
        std::string server; ///< id
        server_life life;
        bool is_leaving = false;
        bool is_own = false; ///< stated to this router
    };

    /// @param router Name of this router.
    explicit leaving_servers(std::string router);

    /// Processes an answer of a server.
    /// @param leaving Whether the answer states that the server leaves.
    /// @param sent    When the request of this answer was sent.
    void handle_answer(
        std::string_view server,
        server_life life,
        bool leaving,
        instant sent,
        instant now);

    /// Another server answered at the address of this one. Counts like the
    /// report of another router: it expires, and a later answer refutes it.
    void
    handle_replacement(std::string_view server, server_life life, instant now);

    /// Processes what another router reports.
    void handle_update(const server_limit_update& update, instant now);

    /// The server has another life now. What was known of earlier ones ends.
    void restarted(std::string_view server, server_life life);

    void tick(instant now);

    /// @return When `tick` has work next; empty: never.
    std::optional<instant> next_tick() const
    {
        return this->reports.next_tick();
    }

    /// Drops what a server stated that has been gone for long.
    void forget(std::string_view server);

    /// @return Whether no server is known to leave.
    bool empty() const
    {
        return this->stated.empty() && !this->has_reports();
    }

    /// @return Whether an answer without the statement may refute a report.
    bool has_reports() const
    {
        return !this->reports.in_force().empty();
    }

    /// @return Whether any life of the server counts as leaving.
    bool contains(std::string_view server) const;

    /// @return The lives that count as leaving, by the id of the server.
    std::map<std::string, server_life, std::less<>> all() const;

    std::vector<change> take_changes();

    /// @return The message to send to all other routers now, if any.
    std::optional<server_limit_update> take_update(instant now)
    {
        return this->reports.take_update(now);
    }

private:
    bool is_stated(std::string_view server, server_life life) const;
    void take_report_changes();

    /// Stated to this router, by server.
    std::map<std::string, server_life, std::less<>> stated;
    /// Exchanged with other routers.
    server_limits reports;
    std::vector<change> changes;
};

} // namespace roseworks
