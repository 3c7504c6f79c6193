// Operators' program: checks, plans and publishes records, and explains what
// the routers decided from them.

#include "tools/common/program.hpp"
#include "tools/ctl/command.hpp"

#include <roseworks/record_text.hpp>

#include <algorithm>
#include <iostream>

namespace roseworks::tools
{

namespace
{

void print_usage(std::ostream& out)
{
    out << "usage: roseworksctl COMMAND [OPTION...]\n\n";
    for (const command& each : commands())
    {
        out << "  " << each.name << ' ' << each.argument_help << "\n      "
            << each.summary << '\n';
    }
    out << "\n`roseworksctl COMMAND --help` lists a command's options.\n"
        << exit_code_help;
}

const command* find_command(std::string_view name)
{
    const auto all = commands();
    const auto found = std::find_if(
        all.begin(),
        all.end(),
        [name](const command& each)
        {
            return each.name == name;
        });
    return found == all.end() ? nullptr : &*found;
}

command_result run_command(const command& which, int argc, char** argv)
{
    cxxopts::Options options = options_of(which);
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0)
    {
        std::cout << options.help({""}) << '\n' << exit_code_help;
        return exit_code::ok;
    }
    if (!arguments.unmatched().empty())
    {
        return boost::leaf::new_error(
            input_error{"too much: " + arguments.unmatched().front()});
    }
    command_context context(arguments, std::cout);
    return which.run(context);
}

exit_code report_log_error(const log_error& error)
{
    if (error.what == log_error::kind::answer_lost)
    {
        std::cerr << "outcome unknown: the append may have taken effect; "
                     "`roseworksctl audit` tells (";
    }
    else
    {
        std::cerr << "log unavailable (";
    }
    std::cerr << error.detail << ")\n";
    return exit_code::log_unavailable;
}

exit_code run_handled(const command& which, int argc, char** argv)
{
    return run_and_explain(
        [&]
        {
            return run_command(which, argc, argv);
        },
        [](const text_problems& problems)
        {
            for (const text_problem& problem : problems.all)
            {
                std::cerr << to_string(problem) << '\n';
            }
            return exit_code::bad_input;
        },
        [](const log_error& error)
        {
            return report_log_error(error);
        });
}

exit_code run_program(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h")
    {
        print_usage(std::cout);
        return exit_code::ok;
    }
    if (name == "--version")
    {
        std::cout << "roseworksctl " << ROSEWORKS_VERSION << '\n';
        return exit_code::ok;
    }
    const command* const which = find_command(name);
    if (which == nullptr)
    {
        print_usage(std::cerr);
        return exit_code::bad_input;
    }
    return run_handled(*which, argc - 1, argv + 1);
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
