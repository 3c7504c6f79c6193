#pragma once

#include <cstdint>
#include <string>

namespace roseworks
{

/// The time between events of the streams that a router relayed from one engine
/// for one model. Sent from a router to the placement owner.
struct pace_sample
{
    std::string engine;       ///< id of the engine's registry entry
    std::int64_t born_ms = 0; ///< start time in the entry; identifies the run
    std::uint64_t model = 0;  ///< hash of the model's key
    std::uint32_t events = 0; ///< since the previous report
    /// Sum of the times before these events, as they would be on a host without
    /// other load.
    std::uint64_t time_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(
            this->engine,
            this->born_ms,
            this->model,
            this->events,
            this->time_us);
    }
};

} // namespace roseworks
