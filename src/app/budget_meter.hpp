#pragma once

#include <roseworks/instant.hpp>

#include <cstdint>
#include <deque>

namespace roseworks::app
{

/** What control uses of its budget, over the last minute.

    Fed with counts that grow and the memory held. Not thread-safe.
*/
class budget_meter
{
public:
    /// What control may use at the two-year size.
    struct limits
    {
        std::uint64_t cpu_us_a_second = 16'000; ///< 1.6 % of a core
        std::uint64_t bytes_a_second = 10'000;  ///< sent and received
        std::uint64_t memory_bytes = 32'000'000;
    };

    /// Counts and sizes at one moment.
    struct reading
    {
        std::uint64_t cpu_us = 0; ///< since the start
        std::uint64_t bytes = 0;  ///< since the start
        std::uint64_t memory = 0; ///< now; of the whole process
    };

    /// Thousandths of the budget: 1000 is all of it.
    struct shares
    {
        std::uint64_t cpu = 0;
        std::uint64_t bytes = 0;
        std::uint64_t memory = 0;
    };

    budget_meter();
    explicit budget_meter(const limits& budget);

    /// @return Whether a reading is wanted by now: one each ten seconds.
    bool due(instant now) const;

    /// Take a reading.
    void note(const reading& now_used, instant now);

    /// @return Use over the readings of the last minute; rates are 0 before
    ///         the second one.
    shares used() const;

private:
    struct sample
    {
        instant at{};
        reading counts;
    };

    limits budget;
    std::deque<sample> samples;
};

} // namespace roseworks::app
