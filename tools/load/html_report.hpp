#pragma once

#include "tools/load/load_figures.hpp"

#include <span>
#include <string>

namespace roseworks::tools
{

/** Write a report of one run: its figures, and latency, cold starts, replicas
    and idle models over time. One file, with nothing loaded from elsewhere.

    @param file    Where.
    @param title   Shown at the top.
    @param outcome The run.
    @param figures Its figures.
    @return        Whether the file could be written.
*/
bool write_html_report(
    const std::string& file,
    const std::string& title,
    const load_outcome& outcome,
    std::span<const load_figure> figures);

} // namespace roseworks::tools
