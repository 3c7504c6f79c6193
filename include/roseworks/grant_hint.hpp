#pragma once

#include <roseworks/ids.hpp>

namespace roseworks
{

/** A model that a standing grant lets its holder load while the log is away.

    A hint: whether it may be loaded is decided by the grant's records, and
    whether it is loaded is known from its engine's reports alone.
*/
struct grant_hint
{
    servable_id servable;
    replica_id replica; ///< the granted id
    engine_id engine;
    bool loaded = false; ///< its engine shows it ready

    bool operator==(const grant_hint&) const = default;
};

} // namespace roseworks
