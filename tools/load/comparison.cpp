#include "tools/load/comparison.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <string_view>

namespace roseworks::tools
{

namespace
{

/// A figure that is compared, and how its ratios are drawn.
struct compared_figure
{
    const char* name;
    const char* colour;
};

constexpr std::array<compared_figure, 7> compared{
    {{"load_latency_p50", "#27ae60"},
     {"load_latency_p99", "#c0392b"},
     {"load_first_token_p99", "#f39c12"},
     {"load_cold_first_token_p99", "#2980b9"},
     {"load_answered", "#34495e"},
     {"load_loads", "#16a085"},
     {"load_idle_models_at_least", "#8e44ad"}}};

std::optional<double>
value_of(std::span<const load_figure> figures, std::string_view name)
{
    const auto found = std::find_if(
        figures.begin(),
        figures.end(),
        [name](const load_figure& one)
        {
            return one.name == name;
        });
    return found == figures.end() ? std::nullopt : std::optional(found->value);
}

/// @param sorted Ascending; not empty.
double median_of(const std::vector<double>& sorted)
{
    const std::size_t middle = sorted.size() / 2;
    return sorted.size() % 2 == 1 ? sorted[middle]
                                  : (sorted[middle - 1] + sorted[middle]) / 2;
}

} // namespace

comparison::comparison(std::chrono::nanoseconds slice_length)
    : length(slice_length)
{
}

void comparison::add(const measured_run& first, const measured_run& second)
{
    const auto first_figures = make_figures(first.outcome());
    const auto second_figures = make_figures(second.outcome());
    for (const compared_figure& one : compared)
    {
        const auto base_value = value_of(first_figures, one.name);
        const auto other_value = value_of(second_figures, one.name);
        if (base_value && other_value && *base_value > 0)
        {
            this->all.push_back(
                {one.name, this->slices, *other_value / *base_value});
        }
    }
    const auto start = this->length * static_cast<int>(this->slices);
    append_slice(this->first_whole, first, start, this->length);
    append_slice(this->second_whole, second, start, this->length);
    ++this->slices;
}

const measured_run& comparison::base() const
{
    return this->first_whole;
}

const measured_run& comparison::other() const
{
    return this->second_whole;
}

const std::vector<slice_ratio>& comparison::ratios() const
{
    return this->all;
}

std::vector<load_figure> comparison::figures() const
{
    std::vector<load_figure> figures;
    for (const compared_figure& one : compared)
    {
        std::vector<double> sorted;
        for (const slice_ratio& item : this->all)
        {
            if (item.figure == one.name)
            {
                sorted.push_back(item.ratio);
            }
        }
        const std::string name(one.name);
        figures.push_back(
            {name + "_ratio_slices",
             static_cast<double>(sorted.size()),
             "slices"});
        if (sorted.empty())
        {
            continue;
        }
        std::sort(sorted.begin(), sorted.end());
        figures.push_back({name + "_ratio_median", median_of(sorted), "ratio"});
        figures.push_back({name + "_ratio_lowest", sorted.front(), "ratio"});
        figures.push_back({name + "_ratio_highest", sorted.back(), "ratio"});
    }
    return figures;
}

plot comparison::ratio_plot() const
{
    plot drawn{"Second target against the first", "slice", "ratio", {}};
    for (const compared_figure& one : compared)
    {
        plot_line line{one.name, one.colour, {}, true};
        for (const slice_ratio& item : this->all)
        {
            if (item.figure == one.name)
            {
                line.points.emplace_back(
                    static_cast<double>(item.slice + 1), item.ratio);
            }
        }
        drawn.lines.push_back(std::move(line));
    }
    return drawn;
}

} // namespace roseworks::tools
