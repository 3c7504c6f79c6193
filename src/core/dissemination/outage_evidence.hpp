#pragma once

#include <roseworks/instant.hpp>

#include <optional>

namespace roseworks
{

/** Distinguishes an outage of the store from one that only some routers had.

    Remembers the latest period in which no router is known to have read the
    store. A router that was cut off takes its own outage for the store's until
    an update arrives from a router that had answers all the while.
*/
class outage_evidence
{
public:
    /// @param shortest Shortest outage that matters.
    explicit outage_evidence(duration shortest)
        : min_length(shortest)
    {
    }

    /// The store answered a read at this time.
    void answered_at(instant when);

    /// Another router knows that the store answered without an outage.
    /// @return Whether this refutes an outage that seemed possible.
    bool answered_between(instant begin, instant end);

    /// @return Whether the store may have been out until then for all routers.
    bool may_have_been_out(instant end) const;

    /// @return For how long the store has answered without an outage.
    duration answered_for(instant now) const
    {
        return this->last_answer ? now - this->gap_end : duration::zero();
    }

private:
    duration min_length;
    std::optional<instant> last_answer;
    /// The latest period without an answer; the time before the first answer
    /// counts as one.
    instant gap_begin = instant::min();
    instant gap_end = instant::min();
};

} // namespace roseworks
