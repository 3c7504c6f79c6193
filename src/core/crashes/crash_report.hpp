#pragma once

#include "core/crashes/crash_evidence.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace roseworks
{

/// A life of a backend server ended while it ran a request.
struct crash_record
{
    std::uint64_t request = 0; ///< hash of its content
    std::uint64_t life = 0;
    /// Time since the run broke. Clocks of routers differ, ages don't.
    std::int64_t age_us = 0;
    crash_evidence evidence = crash_evidence::unreachable;
    /// The request has run well since, so it didn't cause the crash.
    bool cleared = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        auto code = static_cast<std::uint8_t>(this->evidence);
        archive(this->request, this->life, this->age_us, code, this->cleared);
        this->evidence = static_cast<crash_evidence>(code);
    }
};

/// A router sends one request of a content that was blocked until then.
struct trial_record
{
    std::uint64_t request = 0;
    std::uint64_t number = 0; ///< drawn at random
    std::int64_t age_us = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->number, this->age_us);
    }
};

/// How a router answers a report whose digest differs from its own.
enum class report_stage : std::uint8_t
{
    change = 0, ///< not at all: the report holds changes only
    offer = 1,  ///< with all it knows
    answer = 2, ///< with all it knows, for the last time
    last = 3    ///< not at all
};

/// What one router tells others about requests that crash backend servers.
/// Records are merged by union, so the order and repetitions don't matter.
struct crash_report
{
    std::string router;
    report_stage stage = report_stage::change;
    std::uint64_t digest = 0; ///< of all records of the router
    std::vector<crash_record> crashes;
    std::vector<trial_record> trials;

    template <class Archive>
    void serialize(Archive& archive)
    {
        auto code = static_cast<std::uint8_t>(this->stage);
        archive(this->router, code, this->digest, this->crashes, this->trials);
        this->stage = static_cast<report_stage>(code);
    }
};

} // namespace roseworks
