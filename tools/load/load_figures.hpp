#pragma once

#include "tools/load/call_result.hpp"
#include "tools/load/engine_watch.hpp"
#include "tools/load/ledger_judge.hpp"
#include "tools/load/planned_call.hpp"

#include <span>
#include <string>
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
};

/// @return The figures of a run, in a fixed order.
std::vector<load_figure> make_figures(const load_outcome& outcome);

/// @return The value of a figure; 0 when it isn't there.
double find_figure(std::span<const load_figure> figures, std::string_view name);

/// @return Whether every promise held that the run can judge.
bool promises_hold(const load_outcome& outcome);

/// Write each call, then each figure, as a line of JSON.
/// @return Whether the file could be written.
bool write_json_lines(
    const std::string& file,
    const load_outcome& outcome,
    std::span<const load_figure> figures);

} // namespace roseworks::tools
