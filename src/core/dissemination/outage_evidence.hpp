#pragma once

#include <roseworks/instant.hpp>

namespace roseworks
{

/** Tells an outage of the store from one that only another router had.

    Remembers the latest period in which no router is known to have read the
    store. A router that was cut off takes its own outage for the store's.
*/
class outage_evidence
{
public:
    /// @param shortest Shortest outage that matters.
    explicit outage_evidence(duration shortest)
        : min_length(shortest)
    {
    }

    /// The store answered a read at this time, of this router or of another.
    void store_answered(instant when);

    /// @return Whether the store may have been out until then for all routers.
    bool may_have_been_out(instant end) const;

private:
    duration min_length;
    instant last_answer;
    instant gap_begin; ///< of the latest period without an answer
    instant gap_end;
};

} // namespace roseworks
