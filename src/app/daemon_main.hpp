#pragma once

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace roseworks::app
{

/// Exit status for wrong arguments or settings.
inline constexpr int status_usage = 2;

/** What the daemons' programs have in common: their arguments, and the exit
    status of what can't be run.

    @param run Called with the arguments, of which `config` is given.
    @return    The process's exit status.
*/
inline int daemon_main(
    int argc,
    char** argv,
    const std::string& name,
    const std::string& purpose,
    const std::function<int(const cxxopts::ParseResult&)>& run)
{
    cxxopts::Options options(name, purpose);
    options.add_options()(
        "config", "The INI file of settings.", cxxopts::value<std::string>())(
        "check", "Check the settings and exit: 0 when right, else 2.")(
        "help", "Show this text.")("version", "Show the version.");
    try
    {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (arguments.count("version") != 0)
        {
            std::cout << name << " " ROSEWORKS_VERSION "\n";
            return EXIT_SUCCESS;
        }
        if (arguments.count("config") == 0 || !arguments.unmatched().empty())
        {
            std::cerr << options.help();
            return status_usage;
        }
        return run(arguments);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return status_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << name << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

} // namespace roseworks::app
