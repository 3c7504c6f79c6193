#pragma once

#include "tools/load/load_figures.hpp"
#include "tools/load/svg_plot.hpp"

#include <span>
#include <string>

namespace roseworks::tools
{

/// What a report shows of all its runs together.
struct report_summary
{
    std::string title;
    std::span<const load_figure> figures; ///< may be empty
    std::span<const plot> plots;          ///< may be empty
};

/** Write a report: first what is said of all runs, then of each run its
    latency, cold starts, replicas against those declared and idle models over
    time, and its figures. One file, with nothing loaded from elsewhere.

    @param file     Where to; what it held is lost.
    @param summary  Of all the runs.
    @param sections The runs.
    @return         Whether the file could be written.
*/
bool write_html_report(
    const std::string& file,
    const report_summary& summary,
    std::span<const report_section> sections);

} // namespace roseworks::tools
