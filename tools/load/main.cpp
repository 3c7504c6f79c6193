// roseworks-load: open-loop load from seeded traces, judged by ledgers.

#include "tools/common/log_client.hpp"
#include "tools/common/program.hpp"
#include "tools/load/comparison.hpp"
#include "tools/load/html_report.hpp"
#include "tools/load/load_options.hpp"
#include "tools/load/measured_run.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <span>
#include <string>
#include <vector>

namespace roseworks::tools
{

namespace
{

void print_figures(
    std::span<const load_figure> figures, const std::string& prefix = {})
{
    for (const load_figure& figure : figures)
    {
        std::printf(
            "%s%s=%.6g %s\n",
            prefix.c_str(),
            figure.name.c_str(),
            figure.value,
            figure.unit.c_str());
    }
}

/// Distinguishes this process's request ids from those of earlier ones.
std::string run_name(const load_options& options)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "load-" + std::to_string(options.seed) + "-" + std::to_string(ms);
}

/// The files that the options ask for.
boost::leaf::result<void> write_files(
    const load_options& options,
    const report_summary& summary,
    std::span<const report_section> sections)
{
    if (!options.json_file.empty() &&
        !write_json_lines(options.json_file, sections, summary.figures))
    {
        return boost::leaf::new_error(
            input_error{"can't write " + options.json_file});
    }
    if (!options.html_file.empty() &&
        !write_html_report(options.html_file, summary, sections))
    {
        return boost::leaf::new_error(
            input_error{"can't write " + options.html_file});
    }
    return {};
}

std::string make_title(const load_options& options)
{
    return "roseworks-load: " + describe_trace(options);
}

boost::leaf::result<exit_code> measure(const load_options& options)
{
    BOOST_LEAF_AUTO(
        run, measure_run(options, options.target, run_name(options), ""));
    const load_outcome outcome = run.outcome();
    const std::vector<load_figure> figures = make_figures(outcome);
    print_figures(figures);
    const std::array<report_section, 1> sections{{{"", outcome, figures}}};
    BOOST_LEAF_CHECK(
        write_files(options, {make_title(options), {}, {}}, sections));
    return promises_hold(outcome) ? exit_code::ok : exit_code::failed;
}

/// What a target's run in one slice is called in request ids and progress.
struct slice_names
{
    std::string run;
    std::string label;
};

slice_names name_slice(
    const std::string& name,
    const std::string& side,
    std::uint64_t round,
    std::uint64_t rounds)
{
    const std::string number = std::to_string(round + 1);
    return {
        name + "-" + number + side,
        "slice " + number + "/" + std::to_string(rounds) + " " + side + " "};
}

/// One slice on both targets; who begins changes each round.
boost::leaf::result<void> compare_slice(
    const load_options& options,
    const std::string& name,
    std::uint64_t round,
    comparison& both)
{
    const load_options slice = slice_options(options, round);
    std::array<measured_run, 2> runs;
    for (const std::size_t turn : {round % 2, (round + 1) % 2})
    {
        const char* const side = turn == 0 ? "base" : "against";
        const load_target& target =
            turn == 0 ? options.target : options.against;
        const slice_names names = name_slice(name, side, round, options.rounds);
        BOOST_LEAF_ASSIGN(
            runs[turn], measure_run(slice, target, names.run, names.label));
    }
    both.add(runs[0], runs[1]);
    return {};
}

boost::leaf::result<exit_code> compare(const load_options& options)
{
    const std::string name = run_name(options);
    comparison both(options.length);
    for (std::uint64_t round = 0; round < options.rounds; ++round)
    {
        BOOST_LEAF_CHECK(compare_slice(options, name, round, both));
    }
    const load_outcome base = both.base().outcome();
    const load_outcome other = both.other().outcome();
    const std::vector<load_figure> base_figures = make_figures(base);
    const std::vector<load_figure> other_figures = make_figures(other);
    const std::vector<load_figure> ratios = both.figures();
    print_figures(base_figures, "base_");
    print_figures(other_figures, "against_");
    print_figures(ratios);

    const std::array<report_section, 2> sections{
        {{"base", base, base_figures}, {"against", other, other_figures}}};
    const std::array<plot, 1> plots{both.ratio_plot()};
    BOOST_LEAF_CHECK(
        write_files(options, {make_title(options), ratios, plots}, sections));
    return promises_hold(base) && promises_hold(other) ? exit_code::ok
                                                       : exit_code::failed;
}

boost::leaf::result<exit_code> run(const cxxopts::ParseResult& given)
{
    BOOST_LEAF_AUTO(options, read_load_options(given));
    return options.against.routers.empty() ? measure(options)
                                           : compare(options);
}

exit_code run_program(int argc, char** argv)
{
    cxxopts::Options options = known_load_options();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help() << '\n' << exit_code_help;
        return exit_code::ok;
    }
    return run_and_explain(
        [&given]
        {
            return run(given);
        },
        [](const http_error& error)
        {
            std::cerr << "no answer from a router or engine (" << error.detail
                      << ")\n";
            return exit_code::failed;
        },
        [](const log_error& error)
        {
            std::cerr << "log unavailable (" << error.detail << ")\n";
            return exit_code::log_unavailable;
        });
}

} // namespace

} // namespace roseworks::tools

int main(int argc, char** argv)
{
    using namespace roseworks::tools;
    return run_main(
        [argc, argv]
        {
            return run_program(argc, argv);
        });
}
