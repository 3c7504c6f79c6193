#pragma once

#include "core/crashes/blocked_requests.hpp"
#include "core/crashes/crash_report.hpp"
#include "core/crashes/server_life.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace roseworks
{

/** The ends of servers' lives under the parts of prompts, as one router knows
    them. Merged by union, like `crash_ledger`.

    A server that ends takes some twenty runs with it, and many of their prompts
    share parts. So each end is explained by one part only: the part with the
    most unexplained ends is blamed first, and what it explains doesn't count
    against the others. Otherwise the first part, which is in all prompts of a
    route, would be blocked with the one that crashes servers.
*/
class part_ledger
{
public:
    using record = part_crash_record;

    struct options
    {
        /// How long the end of a life is remembered while the part isn't
        /// blocked.
        duration single_lifetime = std::chrono::seconds(60);
        /// The same for a blocked part.
        duration lifetime = std::chrono::minutes(10);
        /// A part is blocked after this many ends, at as many moments. Many
        /// servers that end at one moment usually have another cause.
        std::size_t block_threshold = 3;
        /// Ends closer together than this are one moment.
        duration moment = std::chrono::milliseconds(100);
        /// If as many servers end at one moment, under as many requests with a
        /// part that hadn't run well before, it is blocked after this time. By
        /// then most parts that aren't to blame have run well.
        duration settling = std::chrono::seconds(2);
        /// Of this many requests at least. The request itself may be to blame.
        std::size_t min_requests = 2;
        /// Block after one end more than the threshold. With just as many, one
        /// request is sent as a trial at once.
        duration first_block = std::chrono::seconds(60);
        /// It grows by this factor with each further end.
        int block_growth = 4;
        duration longest_block = std::chrono::minutes(8);
        /// How long a trial keeps other requests with the part waiting.
        duration trial_length = std::chrono::seconds(10);
        std::size_t max_records = 4096;
        /// Most records that are sent to other routers, the worst first.
        std::size_t max_announced = 256;
    };

    explicit part_ledger(options settings);

    /// @return Whether anything changed.
    bool add(const part_crash_record& record, instant now);
    bool add(const trial_record& record, instant now);

    /// An answer on the part that began at this time ended well.
    /// @return Number of records that were cleared: those of ends before it.
    std::size_t clear(fingerprint part, instant began);

    /// Removes what has expired.
    /// @return Whether anything changed.
    bool tick(instant now);

    bool empty() const
    {
        return this->suspects.empty();
    }

    bool contains(fingerprint part) const
    {
        return this->suspects.contains(part);
    }

    /// A part that is blocked.
    struct blame
    {
        std::size_t moments = 0; ///< at which the lives ended
        std::size_t lives = 0;   ///< whose end it explains
        instant until;
        /// Routers begin a trial without a delay of their own.
        bool tries_at_once = false;
    };

    /// @return The parts that are blocked.
    const std::unordered_map<fingerprint, blame>& blamed() const;

    /// @return The lives whose ends the blocked parts explain.
    const std::unordered_set<server_life>& explained() const;

    /// @return A hash of the records that are sent to other routers.
    std::uint64_t digest() const;

    /// @return The records, the worst parts first.
    std::vector<part_crash_record> crashes(instant now, std::size_t most) const;
    /// @return The records that are sent to other routers.
    std::vector<part_crash_record> announced(instant now) const
    {
        return this->crashes(now, this->settings.max_announced);
    }

    std::vector<part_crash_record>
    crashes_of(fingerprint part, instant now) const;
    std::vector<trial_record> trials(instant now) const;

    /// Adds the blocked and the suspected parts.
    void publish(blocked_requests& into) const;

private:
    struct known_end
    {
        instant broken_at;
        fingerprint request; ///< the least hash of those that ran
        crash_evidence evidence = crash_evidence::unreachable;
        bool cleared = false;
    };

    struct suspect
    {
        std::map<server_life, known_end> ends;
        std::unordered_map<std::uint64_t, instant> trials; ///< by number
        std::uint8_t position = 0;                         ///< in the prompt
        bool ran_well = false; ///< shortly before an end
    };

    using suspect_map = std::unordered_map<fingerprint, suspect>;

    /// What counts against a part while some ends are explained.
    struct weight
    {
        std::size_t moments = 0;
        std::size_t lives = 0;
        std::size_t requests = 0;
        /// So many ends are of one moment that they count like ends at several.
        bool has_mass_end = false;
        instant last;
    };

    /// What the records together say.
    struct judgement
    {
        std::unordered_map<fingerprint, blame> blamed;
        std::unordered_set<server_life> explained;
    };

    weight weigh(
        const suspect& one,
        const std::unordered_set<server_life>& explained) const;
    /// @param ends Of one moment, in the order of time.
    /// @return Whether they speak against the part as ends at several moments
    ///         do.
    bool is_mass_end(
        const suspect& one, std::span<const known_end* const> ends) const;
    /// @return Number of parts that may have a mass end from now on.
    std::size_t settle(instant now);
    static std::size_t count_requests(std::span<const known_end* const> ends);
    /// @return The part to blame next; end: none.
    suspect_map::const_iterator worst(const judgement& so_far) const;
    void blame_part(judgement& into, suspect_map::const_iterator part) const;
    /// Judges anew after a change.
    const judgement& judge() const;
    /// @param beyond Moments beyond the threshold.
    duration block_length(std::size_t beyond) const;
    bool is_expired(fingerprint part, const suspect& one, instant now) const;
    std::vector<fingerprint> by_importance() const;
    void drop_least_important();
    static void append(
        std::vector<part_crash_record>& into,
        fingerprint part,
        const suspect& one,
        instant now);

    options settings;
    suspect_map suspects;
    std::size_t record_count = 0;
    instant settled_until = instant::min();
    mutable judgement last_judgement;
    mutable bool is_judged = true;
};

} // namespace roseworks
