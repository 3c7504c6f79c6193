#include "tools/common/exit_code.hpp"
#include "tools/load/comparison.hpp"
#include "tools/load/html_report.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace roseworks;
using namespace roseworks::tools;

namespace
{

using namespace std::chrono_literals;

/// Ten answers of one latency.
measured_run make_run(std::chrono::milliseconds latency)
{
    measured_run run;
    for (int i = 0; i < 10; ++i)
    {
        planned_call call;
        call.at = 100ms * i;
        run.calls.push_back(call);
        call_result result;
        result.outcome = call_outcome::answered;
        result.first_token = latency / 2;
        result.total = latency;
        run.results.push_back(result);
    }
    run.samples = {{-100ms, 1}, {0ms, 1}, {900ms, 1}, {5s, 1}};
    run.declared = 4;
    return run;
}

double figure_of(const std::vector<load_figure>& figures, std::string_view name)
{
    return find_figure(figures, name);
}

/// @return What is wrong with these options; empty when nothing is.
std::string problem_of(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "roseworks-load");
    std::vector<char*> values;
    for (std::string& one : arguments)
    {
        values.push_back(one.data());
    }
    const auto given = known_load_options().parse(
        static_cast<int>(values.size()), values.data());
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(read_load_options(given));
            return std::string();
        },
        [](const input_error& error)
        {
            return error.what;
        },
        []
        {
            return std::string("another error");
        });
}

bool names(const std::string& problem, std::string_view option)
{
    return problem.find(option) != std::string::npos;
}

} // namespace

Test(comparison, ratios_are_taken_slice_by_slice)
{
    comparison both(1s);
    both.add(make_run(100ms), make_run(200ms));
    both.add(make_run(400ms), make_run(400ms));
    both.add(make_run(100ms), make_run(50ms));
    const auto figures = both.figures();
    const auto ratio = [&](const char* what)
    {
        return figure_of(
            figures, std::string("load_latency_p50_ratio_") + what);
    };
    // The histogram's bins are 7.7 % wide.
    cr_assert_float_eq(ratio("median"), 1, 0.08, "%g", ratio("median"));
    cr_assert_float_eq(ratio("lowest"), 0.5, 0.04, "%g", ratio("lowest"));
    cr_assert_float_eq(ratio("highest"), 2, 0.16, "%g", ratio("highest"));
    cr_assert_eq(ratio("slices"), 3);
    cr_assert_eq(figure_of(figures, "load_loads_ratio_slices"), 0);
}

Test(comparison, slices_follow_each_other)
{
    comparison both(1s);
    both.add(make_run(100ms), make_run(100ms));
    both.add(make_run(100ms), make_run(100ms));
    const measured_run& whole = both.base();
    cr_assert_eq(whole.calls.size(), 20);
    cr_assert(whole.calls[10].at == 1s);
    cr_assert_eq(whole.samples.size(), 4, "only those of the slices' own time");
    cr_assert(whole.samples[3].at == 1'900ms);
    cr_assert_eq(whole.declared, 4);
}

Test(comparison, a_slice_begins_where_the_one_before_it_ends)
{
    load_options options;
    options.from_hour = 8;
    options.speed = 360;
    options.length = 10s;
    cr_assert_float_eq(slice_options(options, 3).from_hour, 11, 1e-9);
}

Test(comparison, files_hold_both_runs_and_the_ratios)
{
    comparison both(1s);
    both.add(make_run(100ms), make_run(200ms));
    const auto ratios = both.figures();
    const auto base_figures = make_figures(both.base().outcome());
    const auto other_figures = make_figures(both.other().outcome());
    const std::array<report_section, 2> sections{
        {{"base", both.base().outcome(), base_figures},
         {"against", both.other().outcome(), other_figures}}};
    const std::array<plot, 1> plots{both.ratio_plot()};
    const auto folder = std::filesystem::temp_directory_path() /
                        ("roseworks-load-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string json = folder / "run.json";
    const std::string html = folder / "run.html";
    cr_assert(write_json_lines(json, sections, ratios));
    cr_assert(write_html_report(html, {"a run", ratios, plots}, sections));
    const auto read = [](const std::string& file)
    {
        std::ifstream in(file);
        return std::string(std::istreambuf_iterator<char>(in), {});
    };
    const std::string lines = read(json);
    const std::string page = read(html);
    std::filesystem::remove_all(folder);
    cr_assert(names(lines, R"({"run":"against","at_s":)"));
    cr_assert(names(lines, R"({"figure":"load_latency_p50_ratio_median")"));
    cr_assert(names(page, "<h2>against</h2>"));
    cr_assert(names(page, "declared at most"));
    cr_assert(!names(page, "src="), "nothing from elsewhere");
    cr_assert(!names(page, "href="));
}

Test(comparison, bad_options_are_named)
{
    const std::vector<std::string> good{"--routers", "127.0.0.1:1"};
    const auto with = [&](std::vector<std::string> further)
    {
        further.insert(further.begin(), good.begin(), good.end());
        return problem_of(std::move(further));
    };
    cr_assert_eq(with({}), "");
    cr_assert(names(problem_of({}), "--routers"));
    cr_assert(names(with({"--profile", "x"}), "consortium"));
    cr_assert(names(with({"--scale", "0"}), "--scale"));
    cr_assert(names(with({"--speed", "0"}), "--speed"));
    cr_assert(names(with({"--once-share", "2"}), "--once-share"));
    cr_assert(names(with({"--rounds", "2"}), "--against"));
    cr_assert(names(with({"--against-engine", "127.0.0.1:1"}), "--against"));
    cr_assert(names(with({"--log", "127.0.0.1:1,127.0.0.1:2"}), "--log"));
    cr_assert(names(with({"--from-hour", "47.9"}), "hour 48"));
    cr_assert(names(with({"--json", "/nowhere/x"}), "--json"));
    cr_assert(names(with({"stray"}), "stray"));
    cr_assert(names(
        with({"--against", "127.0.0.1:2", "--engine", "127.0.0.1:3"}),
        "--against-engine"));
}
