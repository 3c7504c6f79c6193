#pragma once

#include "core/crashes/blocked_requests.hpp"
#include "core/crashes/crash_report.hpp"
#include "core/crashes/server_life.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace roseworks
{

/** The records of crashes that one router knows, its own and those of others.

    Merged by union: a record is added, and it may be marked as cleared, in any
    order and any number of times. Routers that have received the same records
    block the same requests.
*/
class crash_ledger
{
public:
    using record = crash_record;

    struct options
    {
        /// How long a request with a single crash is remembered.
        duration single_lifetime = std::chrono::seconds(60);
        /// How long a request is remembered that was blocked.
        duration lifetime = std::chrono::minutes(10);
        /// A request under which this many lives have certainly ended is
        /// blocked. One crash proves little, because a few dozen requests run
        /// on a server when it crashes.
        std::size_t block_threshold = 2;
        /// The same with lives whose servers are only unreachable.
        std::size_t unproven_threshold = 3;
        /// Block after as many crashes as the threshold. It is short, because
        /// an innocent request may have run on two servers that crashed.
        duration first_block = std::chrono::seconds(5);
        /// Block after one more crash. It doubles with each further one.
        duration second_block = std::chrono::seconds(60);
        duration longest_block = std::chrono::minutes(8);
        /// How long a trial keeps other requests of its content waiting.
        duration trial_length = std::chrono::seconds(10);
        std::size_t max_records = 2048;
        /// Most records that are sent to other routers, the worst first.
        std::size_t max_announced = 256;
    };

    explicit crash_ledger(options settings);

    /// @return Whether anything changed.
    bool add(const crash_record& record, instant now);
    bool add(const trial_record& record, instant now);

    /// A run of the request ended well.
    /// @return Number of records that were cleared.
    std::size_t clear(fingerprint request);

    /// Removes what has expired.
    /// @return Whether anything changed.
    bool tick(instant now);

    bool empty() const
    {
        return this->suspects.empty();
    }

    /// @return Number of lives for which the request is blocked; 0: it isn't.
    std::size_t blocking_lives(fingerprint request) const;

    /// @return When the request's block ends; only for blocked requests.
    instant blocked_until(fingerprint request) const;

    /// @return A hash of the records that are sent to other routers.
    std::uint64_t digest() const;

    /// @return The records, the worst requests first.
    std::vector<crash_record> crashes(instant now, std::size_t most) const;
    /// @return The records that are sent to other routers.
    std::vector<crash_record> announced(instant now) const
    {
        return this->crashes(now, this->settings.max_announced);
    }

    /// @return The requests that are blocked.
    std::vector<fingerprint> blocked() const;

    std::vector<crash_record>
    crashes_of(fingerprint request, instant now) const;
    std::vector<trial_record> trials(instant now) const;

    /// Sets the lives whose ends parts of prompts explain. They don't count
    /// against requests.
    void set_explained(std::unordered_set<server_life> lives)
    {
        this->explained = std::move(lives);
    }

    /// Adds the blocked and the suspected requests.
    void publish(blocked_requests& into) const;

private:
    struct known_crash
    {
        instant broken_at;
        crash_evidence evidence = crash_evidence::unreachable;
        bool cleared = false;
    };

    struct suspect
    {
        std::map<server_life, known_crash> crashes;
        std::unordered_map<std::uint64_t, instant> trials; ///< by number
    };

    /// Sort key: requests with more crashes, then with later ones, first.
    using importance = std::pair<std::size_t, instant>;

    static importance importance_of(const suspect& one);
    std::size_t blocking_lives(const suspect& one) const;
    instant blocked_until(const suspect& one) const;
    duration block_length(std::size_t lives) const;
    bool is_expired(const suspect& one, instant now) const;
    std::vector<fingerprint> by_importance() const;
    void drop_least_important();
    static void append(
        std::vector<crash_record>& into,
        fingerprint request,
        const suspect& one,
        instant now);

    options settings;
    std::unordered_map<fingerprint, suspect> suspects;
    std::unordered_set<server_life> explained;
    std::size_t record_count = 0;
};

} // namespace roseworks
