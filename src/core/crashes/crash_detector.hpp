#pragma once

#include "core/crashes/crash_evidence.hpp"
#include "core/crashes/run_content.hpp"
#include "core/crashes/run_end.hpp"
#include "core/crashes/server_life.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace roseworks
{

/// A life of a backend server that ended while it ran a request.
struct detected_crash
{
    run_content content;
    server_life life;
    crash_evidence evidence = crash_evidence::unreachable;
    instant broken_at; ///< when the run broke
};

/** Joins the runs of one router that ended without an answer with the ends of
    the servers' lives, in whichever order they become known.

    A broken connection alone proves nothing, because networks and overload
    break connections as well.
*/
class crash_detector
{
public:
    struct options
    {
        /// How long a run whose connection broke waits for the end of its
        /// server's life to become known. While the store is down, the
        /// registry tells of it late.
        duration broken_memory = std::chrono::seconds(60);
        /// The same once the server has accepted a connection since. Covers
        /// three heartbeats of the registry and the start of the server.
        duration reached_memory = std::chrono::seconds(8);
        /// The same for runs that ended in silence or because the caller left.
        /// Covers three heartbeats of the registry.
        duration silent_memory = std::chrono::seconds(5);
        /// The same for runs whose answer only its connection ended: the server
        /// is examined at once.
        duration closed_memory = std::chrono::seconds(1);
        std::size_t max_runs = 4096;
        std::size_t max_lives = 4096;
    };

    explicit crash_detector(options settings);

    /// A run on a server ended without a complete answer.
    /// @param sent When the request was sent to the server.
    void run_broken(
        const run_content& content,
        server_life life,
        run_end end,
        instant sent,
        instant now);

    /// The server accepted a connection, or another server did so in its place.
    void life_reached(server_life life, instant now);

    void life_ended(server_life life, crash_evidence evidence, instant now);

    /// Removes what has expired.
    void tick(instant now);

    /// @return The crashes detected since the last call. One may be contained
    ///         more than once, the later times with better evidence.
    std::vector<detected_crash> take_crashes()
    {
        return std::exchange(this->detected, {});
    }

    /// @return The runs whose answer only its connection ended, and whose
    /// server
    ///         was reached afterwards: they ended well. Since the last call.
    std::vector<run_content> take_harmless()
    {
        return std::exchange(this->harmless, {});
    }

private:
    struct broken_run
    {
        run_content content;
        server_life life;
        run_end end = run_end::connection;
        instant broken_at;
        instant forget_at;
    };

    struct ended_life
    {
        crash_evidence evidence = crash_evidence::unreachable;
        instant known_at;
    };

    /// A run on a life whose end is known, before it broke.
    struct late_run
    {
        run_end end = run_end::connection;
        instant sent;
        instant broken_at;
    };

    duration memory_of(run_end end) const;
    /// @return Whether the life's end counts for the run.
    bool is_related(const late_run& run, instant end_known_at) const;

    options settings;
    std::deque<broken_run> runs; ///< oldest first
    std::unordered_map<server_life, ended_life> lives;
    std::deque<server_life> life_order; ///< oldest first
    std::vector<detected_crash> detected;
    std::vector<run_content> harmless;
};

} // namespace roseworks
