#include "comparison.hpp"

#include "core/trace/trace_generator.hpp"
#include "frontier.hpp"
#include "replay.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

namespace roseworks::bench
{

namespace
{

/// The sweep of the fixed time to live, in seconds.
constexpr std::array<int, 9> ttl_sweep_s{
    60, 120, 240, 420, 600, 900, 1'500, 2'400, 3'600};
/// Settings of the others: break-even times or, clairvoyant, bridged gaps.
constexpr std::array<int, 8> other_sweep_s{
    10, 30, 60, 120, 300, 600, 1'200, 2'400};

std::vector<int> sweep_of(const named_strategy& which)
{
    if (which.holds == hold_kind::fixed_ttl)
    {
        return {ttl_sweep_s.begin(), ttl_sweep_s.end()};
    }
    return {other_sweep_s.begin(), other_sweep_s.end()};
}

spread spread_of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    const double median = values.size() % 2 == 1
                              ? values[middle]
                              : (values[middle - 1] + values[middle]) / 2;
    return {median, values.front(), values.back()};
}

double cut_percent(double value, double reference)
{
    return reference <= 0 ? 0 : 100 * (1 - value / reference);
}

replay_figures run_one(
    const trace& source,
    const future_uses& future,
    const named_strategy& which,
    int setting_s,
    const comparison_options& wanted)
{
    replay_options options = make_replay_options(which);
    options.warm_up = wanted.warm_up;
    return replay(
               source,
               options,
               make_replay_strategy(
                   which,
                   std::chrono::seconds(setting_s),
                   future,
                   wanted.spread))
        .run();
}

const trace& trace_of(
    const named_strategy& which,
    const trace& source,
    const trace& merged,
    const trace& diverse)
{
    if (which.merged_adapters)
    {
        return merged;
    }
    return which.cheap_engines == cheap_use::none ? source : diverse;
}

operating_point point_of(const replay_figures& figures, bool by_price)
{
    return {
        by_price ? figures.idle_cost : figures.idle_hours, figures.cold_p99_s};
}

/// Replaces the engines' caches; those staged at the start are kept as far as
/// they fit.
void set_caches(trace& source, const comparison_options& options)
{
    for (traced_engine& engine : source.engines)
    {
        engine.host_cache_mib =
            options.host_cache_mib.value_or(engine.host_cache_mib);
        engine.disk_cache_mib =
            options.disk_cache_mib.value_or(engine.disk_cache_mib);
    }
}

void set_cuts(
    comparison_row& row, const std::vector<frontier>& frontiers, bool by_price)
{
    std::vector<double> cold;
    std::vector<double> idle;
    for (std::size_t i = 0; i < row.by_seed.size(); ++i)
    {
        const operating_point point = point_of(row.by_seed[i], by_price);
        cold.push_back(cut_percent(
            point.cold_p99_s, frontiers[i].cold_at(point.idle_hours)));
        idle.push_back(cut_percent(
            point.idle_hours, frontiers[i].idle_at(point.cold_p99_s)));
    }
    row.cold_cut = spread_of(std::move(cold));
    row.idle_cut = spread_of(std::move(idle));
}

} // namespace

spread spread_of(const comparison_row& row, double replay_figures::*figure)
{
    std::vector<double> values;
    for (const replay_figures& figures : row.by_seed)
    {
        values.push_back(figures.*figure);
    }
    return spread_of(std::move(values));
}

std::vector<comparison_row> compare(const comparison_options& options)
{
    std::vector<comparison_row> rows;
    for (const named_strategy& which : list_strategies())
    {
        const bool is_baseline = options.baseline == which.name;
        if (!options.only.empty() && !is_baseline && options.only != which.name)
        {
            continue;
        }
        for (const int setting : sweep_of(which))
        {
            comparison_row row;
            row.strategy = which.name;
            row.setting_s = setting;
            rows.push_back(std::move(row));
        }
    }
    std::vector<frontier> frontiers;
    for (std::uint64_t i = 0; i < options.seeds; ++i)
    {
        trace source = generate_trace(options.profile, options.first_seed + i);
        set_caches(source, options);
        const trace merged = merge_adapters(source);
        const trace diverse = make_diverse_pool(source);
        const future_uses future(source);
        std::vector<operating_point> sweep;
        for (comparison_row& row : rows)
        {
            const named_strategy& which = *find_strategy(row.strategy);
            row.by_seed.push_back(run_one(
                trace_of(which, source, merged, diverse),
                future,
                which,
                static_cast<int>(row.setting_s),
                options));
            if (row.strategy == options.baseline)
            {
                sweep.push_back(point_of(row.by_seed.back(), options.by_price));
            }
        }
        frontiers.emplace_back(sweep);
    }
    for (comparison_row& row : rows)
    {
        set_cuts(row, frontiers, options.by_price);
    }
    return rows;
}

} // namespace roseworks::bench
