#pragma once

#include "tools/load/load_figures.hpp"
#include "tools/load/load_options.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace roseworks::tools
{

/// The calls of one run, or of several after each other, and all that came of
/// them.
struct measured_run
{
    std::vector<planned_call> calls;
    std::vector<call_result> results;
    std::vector<fleet_sample> samples;
    bool has_ledgers = false;
    ledger_totals before;
    ledger_totals after;
    ledger_verdict verdict;
    std::uint64_t declared = 0;

    /// @return A view of this; valid while it neither changes nor goes.
    load_outcome outcome() const;
};

/** Plan a run, send it and read the ledgers before and after.

    @param options What to send.
    @param target  Where to.
    @param name    Distinguishes the request ids of several runs.
    @param label   Begins each line of progress.
    @return        The run; an `input_error`, `http_error` or `log_error`.
*/
boost::leaf::result<measured_run> measure_run(
    const load_options& options,
    const load_target& target,
    const std::string& name,
    const std::string& label);

/** Add a later run on the same target.

    Samples of the engines from before its start or after its length are left
    out, so that times don't overlap.

    @param whole  All runs so far; may be empty.
    @param slice  The next run.
    @param start  When it begins in the whole.
    @param length Its planned length.
*/
void append_slice(
    measured_run& whole,
    const measured_run& slice,
    std::chrono::nanoseconds start,
    std::chrono::nanoseconds length);

} // namespace roseworks::tools
