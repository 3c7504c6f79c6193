#pragma once

#include "core/serving/server_entry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/** What an engine holds, as the placement owner knows it from its own orders.

    Newer than the engine's own entry by seconds. A hint: a request sent where
    the model isn't any more is refused there as not run.
*/
struct engine_residency
{
    std::string engine;         ///< id of its entry
    std::int64_t born_ms = 0;   ///< of its entry: which run of the engine
    std::uint64_t tenure = 0;   ///< fencing number of the owner
    std::uint64_t revision = 0; ///< rises within a tenure
    std::vector<resident_model> resident;

    /// @return Whether this replaces what the other says of the same run.
    bool newer_than(const engine_residency& other) const
    {
        return this->tenure != other.tenure ? this->tenure > other.tenure
                                            : this->revision > other.revision;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->engine,
            this->born_ms,
            this->tenure,
            this->revision,
            this->resident);
    }
};

template <class Archive>
void serialize(Archive& archive, resident_model& model)
{
    archive(model.name, model.adapters);
}

} // namespace roseworks
