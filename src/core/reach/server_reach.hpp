#pragma once

#include <roseworks/instant.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace roseworks
{

/** Which backend servers this router reaches with connections of its own.

    A server that this router can't reach isn't gone: another router may reach
    it. So a failed connection only closes the direct way to that one server for
    a while. A router counts as cut off when other routers reach most of the
    servers that it lately tried and couldn't reach itself. Then it doesn't try
    the direct way to further servers first, since each try costs a timeout.

    Advisory. Not thread-safe. Deterministic for a seed.
*/
class server_reach
{
public:
    struct options
    {
        /// Time without direct attempts after a failure. It doubles up to the
        /// maximum; half of it is random, so that routers don't return
        /// together.
        duration min_retry_interval = std::chrono::seconds(1);
        duration max_retry_interval = std::chrono::seconds(3);
        /// A direct connection shows for this time that the way is open.
        duration direct_lifetime = std::chrono::seconds(3);
        /// A failure counts for this time without another attempt.
        duration failure_lifetime = std::chrono::seconds(10);
        /// Servers that only other routers reach, from which on this router
        /// counts as cut off.
        std::size_t min_lost_servers = 2;
        /// For this time after an attempt without an answer, further ones are
        /// expected to get none.
        duration unanswered_lifetime = std::chrono::milliseconds(500);
        /// After both ways to a server have failed, other routers aren't asked
        /// for this time.
        duration unreached_lifetime = std::chrono::milliseconds(300);
        std::uint64_t seed = 1;
    };

    /// How a direct attempt failed.
    enum class failure : std::uint8_t
    {
        refused,
        no_answer
    };

    explicit server_reach(options settings);

    /// @return Whether the direct way to a server is tried first.
    bool tries_direct(std::string_view server, instant now) const;

    /// @return Whether the direct way is tried for another router, or when
    ///         there is no other way. It isn't while the attempt would most
    ///         likely cost a timeout.
    bool tries_as_last_resort(std::string_view server, instant now) const;

    /// @return Whether other routers may be asked for a way to a server.
    bool asks_others(std::string_view server, instant now) const;

    /// @return Whether a direct connection that was kept open can be used. New
    ///         ones may be refused while open ones work, but if new ones get no
    ///         answer, open ones are dead.
    bool may_reuse_direct(std::string_view server) const;

    void direct_opened(std::string_view server, instant now);
    void direct_failed(std::string_view server, failure how, instant now);

    /// Another router has opened a connection to a server.
    void opened_by_other(std::string_view server, instant now);

    /// Neither this router nor others could open a connection to a server.
    void unreached_by_all(std::string_view server, instant now);

    /// Forgets what is too old. Without it, a router that sends nothing would
    /// keep its judgement.
    void tick(instant now)
    {
        this->update(now);
    }

    bool is_cut_off() const
    {
        return this->cut_off;
    }

    /// @return Servers that only other routers reach, as of the last change.
    std::size_t lost_servers() const
    {
        return this->lost;
    }

    /// @return Servers that this router has lately reached itself.
    std::size_t reached_servers() const
    {
        return this->reached;
    }

private:
    struct way
    {
        std::optional<instant> opened_at; ///< the last direct connection
        std::optional<instant> failed_at; ///< set until a direct one succeeds
        failure last_failure = failure::refused;
        duration retry_interval{};
        instant retry_at;
        bool reached_by_other = false; ///< since the direct way failed
        std::optional<instant> unreached_at;
    };

    way& find_or_add(std::string_view server);
    const way* find(std::string_view server) const;
    void update(instant now);
    duration jittered(duration length);

    options settings;
    std::map<std::string, way, std::less<>> ways; ///< by address
    std::optional<instant> last_unanswered; ///< direct attempt, to any server
    std::mt19937_64 random;
    bool cut_off = false;
    std::size_t lost = 0;
    std::size_t reached = 0;
};

} // namespace roseworks
