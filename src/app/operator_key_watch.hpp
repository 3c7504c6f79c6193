#pragma once

#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <roseworks/fleet_state.hpp>
#include <roseworks/operator_key.hpp>

#include <chrono>
#include <span>
#include <string>
#include <vector>

namespace roseworks::app
{

/** Compares the operators' keys that the log decided with those that this
    router's settings expect, and raises an alarm where they disagree.

    It changes nothing: which records count is decided by the log alone, so that
    every router folds alike whenever it reads its file.
*/
class operator_key_watch
{
public:
    static constexpr duration reload_interval = std::chrono::seconds(5);

    /** @param file   Read again every `reload_interval`.
        @param listed What it said at the start; empty without a file.
        @param clock  Monotonic time.
        @param events Receives the alarm. */
    operator_key_watch(
        std::string file,
        std::vector<operator_key> listed,
        const clock_port& clock,
        event_sink& events);

    /// Compares; called about once a second with a state that is caught up.
    void look(const fleet_state& state);

    /// The next look reads the file, however long ago it was read.
    void read_at_next_look();

private:
    void reload();
    std::vector<operator_key> read();

    std::string file;
    std::vector<operator_key> expected;
    const clock_port& clock;
    event_sink& events;
    instant next_reload;
    std::string alarmed; ///< the disagreement told last; empty for none
};

/// @return How the decided keys differ from those expected; empty when they
///         agree. Keys listed ahead of their acceptance are no difference.
std::string key_disagreement(
    const fleet_state& state, std::span<const operator_key> expected);

} // namespace roseworks::app
