#pragma once

#include "core/serving/engine_residency.hpp"
#include "core/serving/server_entry.hpp"

#include <cstdint>
#include <string>

namespace roseworks
{

/// A change of the registry of backend servers that matters to routing.
struct registry_change
{
    std::uint64_t offset = 0; ///< the registry's number of it
    bool gone = false;        ///< the entry was removed: only its id counts
    /// Without the copies of weights that an engine keeps: they are long, and
    /// only the placement owner uses them, which reads them itself.
    server_entry entry;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->offset,
            this->gone,
            this->entry.id,
            this->entry.born_ms,
            this->entry.service,
            this->entry.address,
            this->entry.data_centre,
            this->entry.slots,
            this->entry.leaving,
            this->entry.holdings.resident);
    }
};

} // namespace roseworks
