#pragma once

#include <cstdint>

namespace roseworks
{

/// The time between events of the streams that a router relayed from one engine
/// for one model. Sent from a router to the placement owner.
struct pace_sample
{
    std::uint64_t run = 0;    ///< of an engine, as `server_life`
    std::uint64_t model = 0;  ///< hash of the model's key
    std::uint32_t events = 0; ///< since the previous report
    /// Sum of the times before these events, as they would be on a host without
    /// other load.
    std::uint64_t time_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->run, this->model, this->events, this->time_us);
    }
};

} // namespace roseworks
