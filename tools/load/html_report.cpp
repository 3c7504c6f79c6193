#include "tools/load/html_report.hpp"

#include "tools/load/svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <map>
#include <vector>

namespace roseworks::tools
{

namespace
{

/// Latencies are gathered over so many slices of the run.
constexpr double slices = 60;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double nearest_rank(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

plot latency_plot(const load_outcome& outcome)
{
    const double end =
        outcome.calls.empty() ? 1 : seconds(outcome.calls.back().at);
    const double slice = std::max(end / slices, 0.1);
    std::map<std::int64_t, std::vector<double>> by_slice;
    for (std::size_t i = 0; i < outcome.calls.size(); ++i)
    {
        if (outcome.results[i].outcome == call_outcome::answered)
        {
            const double at = seconds(outcome.calls[i].at);
            by_slice[static_cast<std::int64_t>(at / slice)].push_back(
                seconds(outcome.results[i].first_token));
        }
    }
    plot_line middle{"p50", "#27ae60", {}, false};
    plot_line tail{"p99", "#c0392b", {}, false};
    for (const auto& [index, values] : by_slice)
    {
        const double at = (static_cast<double>(index) + 0.5) * slice;
        middle.points.emplace_back(at, nearest_rank(values, 0.5));
        tail.points.emplace_back(at, nearest_rank(values, 0.99));
    }
    return {"Time to first token", "s after the start", "s", {middle, tail}};
}

plot cold_plot(const load_outcome& outcome)
{
    plot_line cold{"was cold", "#2980b9", {}, true};
    plot_line refused{"refused", "#c0392b", {}, true};
    for (std::size_t i = 0; i < outcome.calls.size(); ++i)
    {
        const call_result& result = outcome.results[i];
        const double at = seconds(outcome.calls[i].at);
        if (result.outcome == call_outcome::answered && result.was_cold)
        {
            cold.points.emplace_back(at, seconds(result.first_token));
        }
        if (result.outcome == call_outcome::not_run)
        {
            refused.points.emplace_back(at, seconds(result.total));
        }
    }
    return {
        "Cold starts and refusals", "s after the start", "s", {cold, refused}};
}

plot fleet_plot(const load_outcome& outcome)
{
    plot_line ready{"ready", "#27ae60", {}, false};
    plot_line moving{"loading", "#f39c12", {}, false};
    plot_line idle{"idle at least", "#8e44ad", {}, false};
    plot_line declared{"declared at most", "#7f8c8d", {}, false};
    for (const fleet_sample& sample : outcome.samples)
    {
        const double at = std::max(0.0, seconds(sample.at));
        ready.points.emplace_back(at, sample.ready);
        moving.points.emplace_back(at, sample.moving);
        idle.points.emplace_back(at, sample.idle_models);
        if (outcome.declared != 0)
        {
            declared.points.emplace_back(
                at, static_cast<double>(outcome.declared));
        }
    }
    return {
        "Replicas on the engines",
        "s after the start",
        "replicas",
        {ready, moving, idle, declared}};
}

std::string figure_table(std::span<const load_figure> figures)
{
    std::string html = "<table><tr><th>figure</th><th>value</th><th>unit</th>"
                       "</tr>\n";
    for (const load_figure& figure : figures)
    {
        char value[32];
        std::snprintf(value, sizeof value, "%.6g", figure.value);
        html += "<tr><td>" + escape_html(figure.name) + "</td><td>" + value +
                "</td><td>" + escape_html(figure.unit) + "</td></tr>\n";
    }
    return html + "</table>\n";
}

void write_section(std::ostream& out, const report_section& section)
{
    if (!section.name.empty())
    {
        out << "<h2>" << escape_html(section.name) << "</h2>\n";
    }
    const load_outcome& outcome = section.outcome;
    out << draw_svg(latency_plot(outcome)) << draw_svg(cold_plot(outcome));
    if (!outcome.samples.empty())
    {
        out << draw_svg(fleet_plot(outcome));
    }
    out << figure_table(section.figures);
}

} // namespace

bool write_html_report(
    const std::string& file,
    const report_summary& summary,
    std::span<const report_section> sections)
{
    std::ofstream out(file);
    const std::string title = escape_html(summary.title);
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>"
        << title
        << "</title>\n<style>body{font-family:sans-serif;max-width:900px;"
           "margin:2em auto}td,th{text-align:left;padding:0 1em 0 0}"
           "td:nth-child(2){text-align:right}</style></head><body>\n<h1>"
        << title << "</h1>\n";
    for (const plot& one : summary.plots)
    {
        out << draw_svg(one);
    }
    if (!summary.figures.empty())
    {
        out << figure_table(summary.figures);
    }
    for (const report_section& section : sections)
    {
        write_section(out, section);
    }
    out << "</body></html>\n";
    out.flush();
    return out.good();
}

} // namespace roseworks::tools
