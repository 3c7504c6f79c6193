#include "tools/load/load_figures.hpp"

#include "adapters/metrics/latency_histogram.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <fstream>

namespace roseworks::tools
{

namespace
{

namespace json = boost::json;
using metrics::latency_histogram;

struct named_percent
{
    const char* name;
    double percent;
};

constexpr std::array<named_percent, 4> percents{
    {{"p50", 50}, {"p95", 95}, {"p99", 99}, {"p999", 99.9}}};

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

void add_percentiles(
    std::vector<load_figure>& figures,
    const std::string& name,
    const latency_histogram& histogram)
{
    for (const named_percent& item : percents)
    {
        const auto value = histogram.percentile(item.percent);
        if (value)
        {
            figures.push_back({name + "_" + item.name, seconds(*value), "s"});
        }
    }
}

void add_outcomes(
    std::vector<load_figure>& figures, std::span<const call_result> results)
{
    for (const call_outcome outcome :
         {call_outcome::answered,
          call_outcome::damaged,
          call_outcome::not_run,
          call_outcome::may_have_run,
          call_outcome::no_answer,
          call_outcome::not_sent})
    {
        const auto count = std::count_if(
            results.begin(),
            results.end(),
            [outcome](const call_result& item)
            {
                return item.outcome == outcome;
            });
        figures.push_back(
            {std::string("load_") + to_string(outcome),
             static_cast<double>(count),
             "requests"});
    }
}

void add_times(
    std::vector<load_figure>& figures, std::span<const call_result> results)
{
    latency_histogram total;
    latency_histogram first_token;
    latency_histogram cold;
    latency_histogram behind;
    for (const call_result& item : results)
    {
        if (item.outcome == call_outcome::not_sent)
        {
            continue;
        }
        behind.record(item.sent);
        if (item.outcome != call_outcome::answered)
        {
            continue;
        }
        total.record(item.total);
        first_token.record(item.first_token);
        if (item.was_cold)
        {
            cold.record(item.first_token);
        }
    }
    add_percentiles(figures, "load_latency", total);
    add_percentiles(figures, "load_first_token", first_token);
    add_percentiles(figures, "load_cold_first_token", cold);
    add_percentiles(figures, "load_sent_behind_plan", behind);
    figures.push_back(
        {"load_cold_answered", static_cast<double>(cold.count()), "requests"});
}

void add_fleet(
    std::vector<load_figure>& figures, std::span<const fleet_sample> samples)
{
    std::uint32_t most = 0;
    double idle_s = 0;
    for (std::size_t i = 0; i < samples.size(); ++i)
    {
        most = std::max(most, samples[i].ready + samples[i].moving);
        if (i != 0)
        {
            idle_s += seconds(samples[i].at - samples[i - 1].at) *
                      samples[i].idle_models;
        }
    }
    figures.push_back({"load_replicas_most", double(most), "replicas"});
    figures.push_back({"load_idle_models_at_least", idle_s, "replica_s"});
}

void add_ledgers(std::vector<load_figure>& figures, const load_outcome& outcome)
{
    const auto add =
        [&](const char* name, std::uint64_t value, const char* unit)
    {
        figures.push_back({name, static_cast<double>(value), unit});
    };
    const ledger_totals& before = outcome.before;
    const ledger_totals& after = outcome.after;
    add("load_loads", after.loads - before.loads, "loads");
    add("load_unloads", after.unloads - before.unloads, "unloads");
    add("load_failed_loads", after.failed_loads - before.failed_loads, "loads");
    add("load_rejected_memory",
        after.rejected_memory - before.rejected_memory,
        "orders");
    add("load_stale_accepted",
        after.stale_accepted - before.stale_accepted,
        "orders");
    add("load_false_not_run", outcome.verdict.false_not_run, "requests");
    add("load_answered_unrun", outcome.verdict.answered_unrun, "requests");
    add("load_doubled_once", outcome.verdict.doubled_once, "requests");
    add("load_repeated", outcome.verdict.repeated, "requests");
}

bool was_overcommitted(std::span<const fleet_sample> samples)
{
    return std::any_of(
        samples.begin(),
        samples.end(),
        [](const fleet_sample& item)
        {
            return item.overcommitted;
        });
}

json::object begin_line(const std::string& run)
{
    json::object line;
    if (!run.empty())
    {
        line["run"] = run;
    }
    return line;
}

void write_calls(std::ostream& out, const report_section& section)
{
    const load_outcome& outcome = section.outcome;
    for (std::size_t i = 0; i < outcome.calls.size(); ++i)
    {
        const planned_call& call = outcome.calls[i];
        const call_result& result = outcome.results[i];
        json::object line = begin_line(section.name);
        line["at_s"] = seconds(call.at);
        line["request_id"] = call.request_id;
        line["model"] = call.model;
        line["caller"] = call.caller;
        line["priority"] = call.urgency;
        line["once"] = call.once;
        line["outcome"] = to_string(result.outcome);
        line["status"] = result.status;
        line["reason"] = result.reason;
        line["first_token_s"] = seconds(result.first_token);
        line["total_s"] = seconds(result.total);
        line["cold"] = result.was_cold;
        out << json::serialize(line) << '\n';
    }
}

void write_figures(
    std::ostream& out,
    const std::string& run,
    std::span<const load_figure> figures)
{
    for (const load_figure& figure : figures)
    {
        json::object line = begin_line(run);
        line["figure"] = figure.name;
        line["value"] = figure.value;
        line["unit"] = figure.unit;
        out << json::serialize(line) << '\n';
    }
}

} // namespace

std::vector<load_figure> make_figures(const load_outcome& outcome)
{
    std::vector<load_figure> figures;
    figures.push_back(
        {"load_planned", double(outcome.calls.size()), "requests"});
    add_outcomes(figures, outcome.results);
    add_times(figures, outcome.results);
    if (outcome.declared != 0)
    {
        figures.push_back(
            {"load_replicas_declared", double(outcome.declared), "replicas"});
    }
    if (outcome.has_ledgers)
    {
        add_fleet(figures, outcome.samples);
        add_ledgers(figures, outcome);
        figures.push_back(
            {"load_overcommitted",
             was_overcommitted(outcome.samples) ? 1.0 : 0.0,
             "flag"});
    }
    return figures;
}

double find_figure(std::span<const load_figure> figures, std::string_view name)
{
    const auto found = std::find_if(
        figures.begin(),
        figures.end(),
        [name](const load_figure& item)
        {
            return item.name == name;
        });
    return found == figures.end() ? 0 : found->value;
}

bool promises_hold(const load_outcome& outcome)
{
    const bool damaged = std::any_of(
        outcome.results.begin(),
        outcome.results.end(),
        [](const call_result& item)
        {
            return item.outcome == call_outcome::damaged;
        });
    const ledger_verdict& verdict = outcome.verdict;
    return !damaged && verdict.false_not_run == 0 &&
           verdict.answered_unrun == 0 && verdict.doubled_once == 0 &&
           !was_overcommitted(outcome.samples);
}

bool write_json_lines(
    const std::string& file,
    std::span<const report_section> sections,
    std::span<const load_figure> figures)
{
    std::ofstream out(file);
    for (const report_section& section : sections)
    {
        write_calls(out, section);
        write_figures(out, section.name, section.figures);
    }
    write_figures(out, {}, figures);
    out.flush();
    return out.good();
}

} // namespace roseworks::tools
