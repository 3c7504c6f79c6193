#pragma once

#include <roseworks/ids.hpp>

namespace roseworks
{

/** A model that the holder of a standing grant may load while the log is
    unavailable.

    A hint: the grant's records decide whether the model may be loaded, and only
    its engine's reports tell whether it is loaded.
*/
struct grant_hint
{
    servable_id servable;
    replica_id replica; ///< offset of the `grant_model` record
    engine_id engine;
    bool loaded = false; ///< its engine reports it ready

    bool operator==(const grant_hint&) const = default;
};

} // namespace roseworks
