#pragma once

#include <roseworks/controller.hpp>
#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <cstdint>
#include <map>

namespace roseworks::app
{

/** Adds up accelerator time that loaded replicas hold without a request.

    A hint: it rests on the engines' reports, which lag. Only reports of engines
    that this router leases count, so that the sum over all routers is the
    fleet's.
*/
class idle_meter
{
public:
    /** An engine has reported.

        @param report       What it says; a failed reading ends its span.
        @param accelerators What the engine has.
        @param held         Whether this router leases it.
        @param now          When the report came.
    */
    void reported(
        const engine_report& report,
        std::uint32_t accelerators,
        bool held,
        instant now);

    /// @return Accelerator time idle since the start.
    duration idle() const;

    /// @return Replicas that the leased engines showed last.
    std::uint64_t residents() const;

private:
    struct last_report
    {
        instant at;
        bool idle = false;
        std::uint64_t residents = 0;
    };

    std::map<engine_id, last_report> engines;
    duration total{};
};

} // namespace roseworks::app
