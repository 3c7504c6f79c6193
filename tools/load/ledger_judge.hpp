#pragma once

#include "tools/common/http_call.hpp"
#include "tools/load/call_result.hpp"
#include "tools/load/planned_call.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// What the engines' ledgers say ran.
struct ledger_totals
{
    std::map<std::string, std::uint64_t> executions; ///< by request id
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t failed_loads = 0;
    std::uint64_t rejected_memory = 0;
    std::uint64_t stale_accepted = 0;
};

/// What the routers said against what ran.
struct ledger_verdict
{
    std::uint64_t false_not_run = 0;  ///< said `not-run`, but ran
    std::uint64_t answered_unrun = 0; ///< answered, but never ran
    std::uint64_t doubled_once = 0;   ///< with a key, and ran twice
    std::uint64_t repeated = 0;       ///< without a key, and ran again
};

/** Read and add up the ledgers of all engines.

    @return The totals; an `http_error` when one can't be read.
*/
boost::leaf::result<ledger_totals>
read_ledgers(const std::vector<endpoint>& engines);

/// Judge one run's results.
ledger_verdict judge_by_ledgers(
    std::span<const planned_call> calls,
    std::span<const call_result> results,
    const ledger_totals& totals);

} // namespace roseworks::tools
