#pragma once

#include "core/pacing/server_limit.hpp"
#include "core/pacing/server_limit_update.hpp"

#include <roseworks/instant.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks
{

/** Tracks the rate limits that backend servers announce.

    A server announces its limit in its answers for as long as the limit holds.
    The newest information wins, whether it comes from an answer to this router
    or from another router. Answers on different connections can overtake each
    other. Therefore an answer without a limit ends a known limit only when its
    request was sent after the limit was last seen.

    A limited server still gets requests, so its answers show when the limit
    ends. A limit expires only long after it was last seen.

    The class does no I/O and reads no clock: callers pass in the time and
    collect messages and changes. The data is advisory.
*/
class server_limits
{
public:
    struct options
    {
        std::string router; ///< name of this router
        /// Number of times that a change is sent, as messages may be lost.
        int announcement_count = 3;
        /// Time between two messages about the same change.
        duration announcement_interval = std::chrono::milliseconds(150);
        /// Minimum time between messages that confirm an unchanged limit. Only
        /// a router that has just seen the limit sends them.
        duration refresh_interval = std::chrono::seconds(1);
        /// How long an ended limit is kept, so that older messages that arrive
        /// late don't bring it back.
        duration ended_limit_retention = std::chrono::seconds(10);
        /// A limit expires when it was not seen for this long, that is, when no
        /// router sent the server anything.
        duration limit_retention = std::chrono::seconds(60);
        /// A limit ends only with an answer whose request was sent at least
        /// this long after the limit was last seen.
        duration end_delay{};
        /// Limits of further servers are ignored.
        std::size_t max_servers = 1024;
    };

    explicit server_limits(options settings);

    /** Processes an answer of a server.

        @param announced Requests per second; empty if the answer has no limit.
        @param sent      When the request of this answer was sent.
    */
    void handle_answer(
        std::string_view server,
        std::optional<double> announced,
        instant sent,
        instant now);

    /// Processes a message of another router.
    void handle_update(const server_limit_update& update, instant now);

    /// Drops the limit of a server that is gone or was restarted.
    void remove(std::string_view server);

    void tick(instant now);

    /// @return When `tick` has work next; empty when no limit is known.
    std::optional<instant> next_tick() const;

    /// @return Requests per second; 0 when no limit is known.
    double limit_of(std::string_view server) const;

    /// @return Limits in force, ordered by server.
    std::vector<server_limit> in_force() const;

    /// @return Limits that began, changed or ended since the last call.
    std::vector<server_limit> take_changes();

    /// @return The message to send to all other routers now, if any.
    std::optional<server_limit_update> take_update(instant now);

private:
    struct entry
    {
        server_limit limit;
        instant announced_at; ///< last message about it, from any router
        int announcements_left = 0;
    };

    entry* find_or_add(std::string_view server);
    /// @return Whether the limit changed.
    bool set_limit(entry& record, double per_second, instant seen);
    void announce(entry& record, instant now);

    options settings;
    std::map<std::string, entry, std::less<>> entries;
    std::vector<server_limit> changes;
    std::vector<std::string> pending_announcements;
};

} // namespace roseworks
