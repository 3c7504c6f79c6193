#pragma once

#include "core/recovery/control_context.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace roseworks::detail
{

/// The last report of an engine.
struct engine_sighting
{
    engine_report report;
    instant asked{};       ///< when the read that it answers was handed out
    instant read{};        ///< when it came
    instant reached{};     ///< when it last was reachable, or first asked
    std::size_t bytes = 0; ///< of the last answer on the wire, about

    /// @return What the report says of a replica; null when it isn't there.
    const resident* find(replica_id id) const;
};

/** Reads engines' states and keeps the last report of each. All hints. */
class engine_reports
{
public:
    explicit engine_reports(duration poll);

    /// A report came.
    void received(const engine_report& report, instant now);

    /** Hand out the reads that are due.

        @param context What is known now.
        @param held    Engines whose lease this router holds.
        @param urgent  Those of them on which something moves.
    */
    void step(
        const control_context& context,
        const std::set<engine_id>& held,
        const std::set<engine_id>& urgent);

    /// @return The engine's last report; null when there is none.
    const engine_sighting* find(engine_id id) const;

    instant next_tick() const;

private:
    struct schedule
    {
        std::optional<instant> in_flight; ///< since when a read is under way
        instant last_asked{};
        bool asked_before = false;
    };

    duration poll;
    instant next_due = instant::max();
    std::size_t report_bytes = 0; ///< of all sightings
    std::map<engine_id, schedule> reads;
    std::map<engine_id, engine_sighting> sightings;
};

} // namespace roseworks::detail
