#pragma once

#include "core/serving/server_entry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/** The models on an engine, as the placement owner knows them from the orders
    that it sent.

    It is newer than the engine's registry entry by seconds. The data is
    advisory: an engine that no longer has the model refuses the request without
    running it.
*/
struct engine_residency
{
    std::string engine;         ///< id of the engine's registry entry
    std::int64_t born_ms = 0;   ///< start time in the entry; identifies the run
    std::uint64_t tenure = 0;   ///< fencing token of the owner
    std::uint64_t revision = 0; ///< increases within a tenure
    std::vector<resident_model> resident;

    /// @return Whether this replaces the other, which is of the same run.
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
