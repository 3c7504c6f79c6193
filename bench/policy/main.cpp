/** Compares placement strategies on seeded traces in virtual time.

    Prints `name=value unit`, the same figures for the same seeds, or a Markdown
    table. See docs/design/0003-placement-policy.md.
*/
#include "comparison.hpp"
#include "core/trace/trace_generator.hpp"

#include <cxxopts.hpp>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

struct printed_figure
{
    const char* name;
    double replay_figures::*figure;
    const char* unit;
};

constexpr printed_figure printed[] = {
    {"cold_p50", &replay_figures::cold_p50_s, "s"},
    {"cold_p95", &replay_figures::cold_p95_s, "s"},
    {"cold_p99", &replay_figures::cold_p99_s, "s"},
    {"cold_p999", &replay_figures::cold_p999_s, "s"},
    {"waited_share", &replay_figures::waited_share, "ratio"},
    {"waited_p99", &replay_figures::waited_p99_s, "s"},
    {"idle", &replay_figures::idle_hours, "accelerator_h"},
    {"periodic_waited_share", &replay_figures::periodic_waited_share, "ratio"},
    {"idle_cost", &replay_figures::idle_cost, "accelerator_h"},
    {"slowed_share", &replay_figures::slowed_share, "ratio"},
    {"loading", &replay_figures::loading_hours, "accelerator_h"}};

void print_spread(
    const std::string& name, const spread& values, const char* unit)
{
    std::printf("%s_median=%.3f %s\n", name.c_str(), values.median, unit);
    std::printf("%s_lowest=%.3f %s\n", name.c_str(), values.lowest, unit);
    std::printf("%s_highest=%.3f %s\n", name.c_str(), values.highest, unit);
}

std::uint64_t
sum(const comparison_row& row, std::uint64_t replay_figures::*item)
{
    std::uint64_t total = 0;
    for (const replay_figures& figures : row.by_seed)
    {
        total += figures.*item;
    }
    return total;
}

void print_row(const std::string& profile, const comparison_row& row)
{
    const std::string name = "policy_" + profile + "_" + row.strategy + "_" +
                             std::to_string(static_cast<int>(row.setting_s));
    for (const printed_figure& item : printed)
    {
        print_spread(
            name + "_" + item.name, spread_of(row, item.figure), item.unit);
    }
    print_spread(name + "_p99_cut_at_equal_idle", row.cold_cut, "percent");
    print_spread(name + "_idle_cut_at_equal_p99", row.idle_cut, "percent");
    const auto count =
        [&](const char* what, std::uint64_t replay_figures::*item)
    {
        std::printf(
            "%s_%s=%llu count\n",
            name.c_str(),
            what,
            static_cast<unsigned long long>(sum(row, item)));
    };
    count("requests", &replay_figures::requests);
    count("unanswered", &replay_figures::unanswered);
    count("loads", &replay_figures::loads);
    count("remote_loads", &replay_figures::remote_loads);
    count("evictions", &replay_figures::evictions);
}

void print_table_row(const comparison_row& row)
{
    const spread p99 = spread_of(row, &replay_figures::cold_p99_s);
    const spread idle = spread_of(row, &replay_figures::idle_hours);
    std::printf(
        "| %s | %.0f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f | "
        "%.0f (%.0f to %.0f) | %.0f (%.0f to %.0f) | %llu | %llu | %.1f | %.1f "
        "| "
        "%.1f "
        "|\n",
        row.strategy.c_str(),
        row.setting_s,
        spread_of(row, &replay_figures::cold_p95_s).median,
        p99.median,
        spread_of(row, &replay_figures::cold_p999_s).median,
        100 * spread_of(row, &replay_figures::waited_share).median,
        spread_of(row, &replay_figures::waited_p99_s).median,
        idle.median,
        spread_of(row, &replay_figures::loading_hours).median,
        row.cold_cut.median,
        row.cold_cut.lowest,
        row.cold_cut.highest,
        row.idle_cut.median,
        row.idle_cut.lowest,
        row.idle_cut.highest,
        static_cast<unsigned long long>(
            sum(row, &replay_figures::remote_loads) / row.by_seed.size()),
        static_cast<unsigned long long>(sum(row, &replay_figures::unanswered)),
        spread_of(row, &replay_figures::idle_cost).median,
        100 * spread_of(row, &replay_figures::slowed_share).median,
        100 * spread_of(row, &replay_figures::periodic_waited_share).median);
}

void print_table(const std::vector<comparison_row>& rows)
{
    std::printf(
        "| strategy | setting s | p95 s | p99 s | p99.9 s | waited %% | p99 "
        "waited s | idle h | loading h | p99 cut %% | idle cut %% | remote "
        "loads | unanswered | idle cost h | slowed %% | periodic waited %% "
        "|\n|%s\n",
        "---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (const comparison_row& row : rows)
    {
        print_table_row(row);
    }
}

void print_trace(const comparison_options& options)
{
    const trace first = generate_trace(options.profile, options.first_seed);
    std::printf(
        "policy_%s_trace_servables=%zu count\n"
        "policy_%s_trace_requests=%zu count\n"
        "policy_%s_trace_sessions=%zu count\n"
        "policy_%s_trace_wake_or_idle=%.4f share_per_h\n",
        options.profile.name.c_str(),
        first.servables.size(),
        options.profile.name.c_str(),
        first.requests.size(),
        options.profile.name.c_str(),
        first.sessions.size(),
        options.profile.name.c_str(),
        wake_or_idle_share(first));
}

int run(const cxxopts::ParseResult& arguments)
{
    const auto profile = find_trace_profile(
        arguments["profile"].as<std::string>(),
        arguments["scale"].as<double>());
    const auto hours = arguments["hours"].as<unsigned>();
    const auto warm_up = arguments["warm-up-hours"].as<unsigned>();
    const auto seeds = arguments["seeds"].as<std::uint64_t>();
    constexpr unsigned most_hours = 24 * 14;
    constexpr std::uint64_t most_seeds = 100;
    constexpr std::uint32_t most_routers = 1000;
    if (!profile || warm_up >= hours || hours > most_hours || seeds == 0 ||
        seeds > most_seeds)
    {
        std::cerr << "unknown profile, or a number out of range\n";
        return 2;
    }
    comparison_options options;
    options.profile = *profile;
    options.profile.length = std::chrono::hours(hours);
    options.warm_up = std::chrono::hours(warm_up);
    options.seeds = seeds;
    options.first_seed = arguments["first-seed"].as<std::uint64_t>();
    options.only = arguments["strategy"].as<std::string>();
    options.baseline = arguments["baseline"].as<std::string>();
    options.spread.routers = arguments["routers"].as<std::uint32_t>();
    options.spread.each_request = arguments.count("each-request") != 0;
    options.spread.told = arguments.count("told") != 0;
    if (options.spread.routers == 0 || options.spread.routers > most_routers)
    {
        std::cerr << "--routers must be from 1 to " << most_routers << '\n';
        return 2;
    }
    options.by_price = arguments.count("priced") != 0;
    if (arguments.count("host-cache-mib") != 0)
    {
        options.host_cache_mib =
            arguments["host-cache-mib"].as<std::uint32_t>();
    }
    if (arguments.count("disk-cache-mib") != 0)
    {
        options.disk_cache_mib =
            arguments["disk-cache-mib"].as<std::uint32_t>();
    }
    if (find_strategy(options.baseline) == nullptr ||
        (!options.only.empty() && find_strategy(options.only) == nullptr))
    {
        std::cerr << "unknown strategy\n";
        return 2;
    }
    print_trace(options);
    const std::vector<comparison_row> rows = compare(options);
    if (arguments.count("table") != 0)
    {
        print_table(rows);
        return 0;
    }
    for (const comparison_row& row : rows)
    {
        print_row(options.profile.name, row);
    }
    return 0;
}

} // namespace

int main(int count, char** values)
{
    cxxopts::Options known("bench_policy", "Compares placement strategies");
    known.add_options()(
        "profile",
        "consortium, cooperative or scaled",
        cxxopts::value<std::string>()->default_value("consortium"))(
        "scale",
        "two-year size divided by this",
        cxxopts::value<double>()->default_value("100"))(
        "hours",
        "length of a trace",
        cxxopts::value<unsigned>()->default_value("72"))(
        "warm-up-hours",
        "not measured",
        cxxopts::value<unsigned>()->default_value("24"))(
        "seeds",
        "traces",
        cxxopts::value<std::uint64_t>()->default_value("10"))(
        "first-seed",
        "seed of the first trace",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "strategy",
        "only this one and the baseline",
        cxxopts::value<std::string>()->default_value(""))(
        "baseline",
        "strategy whose sweep is the frontier",
        cxxopts::value<std::string>()->default_value("fixed_ttl"))(
        "host-cache-mib",
        "checkpoints that an engine keeps in memory",
        cxxopts::value<std::uint32_t>())(
        "disk-cache-mib",
        "checkpoints that an engine keeps on disk",
        cxxopts::value<std::uint32_t>())(
        "routers",
        "over which callers' visits are spread",
        cxxopts::value<std::uint32_t>()->default_value("1"))(
        "each-request", "spread requests, not visits")(
        "told", "routers tell the proposer of visits")(
        "priced", "weight idle hours by engines' prices when comparing")(
        "table", "print a Markdown table")("help", "print this");
    try
    {
        const cxxopts::ParseResult arguments = known.parse(count, values);
        if (arguments.count("help") != 0)
        {
            std::cout << known.help();
            return 0;
        }
        return run(arguments);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
