#pragma once

#include "tools/load/call_result.hpp"
#include "tools/load/engine_watch.hpp"
#include "tools/load/ledger_judge.hpp"
#include "tools/load/planned_call.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::tools
{

/// One measured figure, printed as `name=value unit`.
struct load_figure
{
    std::string name;
    double value = 0;
    std::string unit;
};

/// All that one run gave.
struct load_outcome
{
    std::span<const planned_call> calls;
    std::span<const call_result> results;
    std::span<const fleet_sample> samples;
    bool has_ledgers = false;
    ledger_totals before;
    ledger_totals after;
    ledger_verdict verdict;
    std::uint64_t declared = 0; ///< replicas at most, by the log; 0: not known
};

/// A run in a file of results.
struct report_section
{
    std::string name; ///< empty when there is only one
    load_outcome outcome;
    std::span<const load_figure> figures;
};

/// @return The figures of a run, in a fixed order.
std::vector<load_figure> make_figures(const load_outcome& outcome);

/// @return The value of a figure; 0 when it isn't there.
double find_figure(std::span<const load_figure> figures, std::string_view name);

/// @return Whether every promise held that the run can judge.
bool promises_hold(const load_outcome& outcome);

/** Write each call, then each figure, as a line of JSON.

    @param file     Where to; what it held is lost.
    @param sections The runs; a line of a named one has its name as `run`.
    @param figures  Those of all the runs together; may be empty.
    @return         Whether the file could be written.
*/
bool write_json_lines(
    const std::string& file,
    std::span<const report_section> sections,
    std::span<const load_figure> figures);

} // namespace roseworks::tools
