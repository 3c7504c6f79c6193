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

/// A life of a backend server ended while it ran requests with a part in their
/// prompts.
struct part_crash_record
{
    std::uint64_t part = 0; ///< hash of the part
    std::uint64_t life = 0;
    std::uint64_t request = 0; ///< hash of one of the requests
    std::int64_t age_us = 0;   ///< time since the run broke
    crash_evidence evidence = crash_evidence::unreachable;
    std::uint8_t position = 0; ///< of the part in the prompt, from 0
    /// An answer on the part had ended well shortly before.
    bool ran_well = false;
    /// An answer on the part that began later has ended well.
    bool cleared = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        auto code = static_cast<std::uint8_t>(this->evidence);
        archive(
            this->part,
            this->life,
            this->request,
            this->age_us,
            code,
            this->position,
            this->ran_well,
            this->cleared);
        this->evidence = static_cast<crash_evidence>(code);
    }
};

/// A router sends one request of a content, or with a part in its prompt, that
/// was blocked until then.
struct trial_record
{
    std::uint64_t request = 0; ///< hash of the content or the part
    std::uint64_t number = 0;  ///< drawn at random
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

/// What one router reports to others on requests, or prompt parts, that crash
/// backend servers. Records are merged by union, so the order and repetitions
/// don't matter.
template <class Record>
struct basic_crash_report
{
    std::string router;
    report_stage stage = report_stage::change;
    /// Of all records of the router; 0 in reports of changes.
    std::uint64_t digest = 0;
    std::vector<Record> crashes;
    std::vector<trial_record> trials;

    template <class Archive>
    void serialize(Archive& archive)
    {
        auto code = static_cast<std::uint8_t>(this->stage);
        archive(this->router, code, this->digest, this->crashes, this->trials);
        this->stage = static_cast<report_stage>(code);
    }
};

using crash_report = basic_crash_report<crash_record>;
using part_crash_report = basic_crash_report<part_crash_record>;

} // namespace roseworks
