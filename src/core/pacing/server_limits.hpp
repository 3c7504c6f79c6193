#pragma once

#include "core/pacing/server_limit.hpp"
#include "core/pacing/server_limit_word.hpp"

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

/** What this router knows of the limits that backend servers name.

    A server names its limit in answers, for as long as it holds. The newest
    word counts: an own answer's, or another router's. An answer without one
    ends a limit only when its request was sent after the limit was last seen,
    as answers on different connections overtake each other.

    A limited server still gets requests, so that its answers tell when the
    limit ends: what is known isn't given up by its age but long after the last
    word. Pure: time comes in, words and changes go out. Hint.
*/
class server_limits
{
public:
    struct options
    {
        std::string router; ///< this one's name
        /// A change is told this often in all: words may be lost.
        int tellings = 3;
        /// Between them.
        duration telling_pause = std::chrono::milliseconds(150);
        /// A limit that holds is told again after so long, by one who has just
        /// seen it.
        duration confirm_pause = std::chrono::seconds(1);
        /// An ended limit is remembered, for older words that come later.
        duration end_memory = std::chrono::seconds(10);
        /// Nobody sent anything to the server for so long.
        duration lifetime = std::chrono::seconds(60);
        /// Of servers that are remembered; others' limits aren't kept.
        std::size_t most_servers = 1024;
    };

    explicit server_limits(options settings);

    /** An answer of a server came.

        @param named Requests a second; empty: it named no limit.
        @param sent  When its request was sent.
    */
    void answered(
        std::string_view server,
        std::optional<double> named,
        instant sent,
        instant now);

    /// Another router's word.
    void heard(const server_limit_word& word, instant now);

    /// The server is gone, or was started anew.
    void forget(std::string_view server);

    void tick(instant now);

    /// @return When `tick` has work next; empty while nothing is known.
    std::optional<instant> next_tick() const;

    /// @return Requests a second; 0: no limit is known.
    double limit_of(std::string_view server) const;

    /// @return Limits in force, by server.
    std::vector<server_limit> in_force() const;

    /// @return Limits that began, changed or ended since the last call.
    std::vector<server_limit> take_changes();

    /// @return What all others are to be told now.
    std::optional<server_limit_word> take_word(instant now);

private:
    struct entry
    {
        server_limit limit;
        instant told; ///< last, by whomever
        int tellings_left = 0;
    };

    entry* find_or_add(std::string_view server);
    /// @return Whether the limit is another one now.
    bool take(entry& known, double per_second, instant seen);
    void tell(entry& known, instant now);

    options settings;
    std::map<std::string, entry, std::less<>> known;
    std::vector<server_limit> changes;
    std::vector<std::string> to_tell;
};

} // namespace roseworks
