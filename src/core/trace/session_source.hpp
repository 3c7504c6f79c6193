#pragma once

#include "core/trace/trace.hpp"
#include "core/trace/trace_profile.hpp"

#include <cstdint>
#include <random>
#include <vector>

namespace roseworks::detail
{

/** Draws the sessions of a trace.

    Ranks of servables and habits of callers are drawn once; `draw` may then be
    called with several rates, and gives the same sessions for the same rate.
*/
class session_source
{
public:
    session_source(
        const trace_profile& profile,
        const trace& catalogue,
        std::uint64_t seed);

    /** Draw all sessions.

        @param per_hour Sessions an hour and servable, over all kinds but
                        bursts and overnight batches.
        @return         In order of their beginning.
    */
    std::vector<traced_session> draw(double per_hour) const;

    /// @return Popularity of a servable, from 1.
    std::uint32_t rank(std::uint32_t servable) const;

private:
    using sessions = std::vector<traced_session>;

    void draw_chance(double count, sessions& out) const;
    void draw_companions(
        const traced_session& first,
        std::mt19937_64& random,
        sessions& out) const;
    void draw_periodic(double count, sessions& out) const;
    void draw_bursts(sessions& out) const;
    void draw_batches(sessions& out) const;
    std::mt19937_64 random_for(std::uint64_t part) const;

    const trace_profile& profile;
    std::uint64_t seed;
    std::vector<std::uint32_t> ranks;               ///< by servable
    std::vector<std::vector<std::uint32_t>> habits; ///< by caller, in order
};

} // namespace roseworks::detail
