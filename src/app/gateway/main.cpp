// roseworks-gateway: one process on every VM of the users' platform.

#include "adapters/settings/load_gateway_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "app/gateway/gateway_app.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace
{

namespace leaf = boost::leaf;
using namespace roseworks;

constexpr int status_usage = 2;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "roseworks-gateway",
        "Forwards requests to rarely used models on a shared platform.");
    options.add_options()(
        "config", "The INI file of settings.", cxxopts::value<std::string>())(
        "check", "Check the settings and exit: 0 when right, else 2.")(
        "help", "Show this text.")("version", "Show the version.");
    return options;
}

leaf::result<int>
serve(const settings::gateway_settings& settings, const std::string& path)
{
    BOOST_LEAF_AUTO(gateway, app::gateway_app::make(settings, path));
    return gateway->run();
}

int run(const cxxopts::ParseResult& arguments)
{
    const auto path = arguments["config"].as<std::string>();
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_AUTO(settings, settings::load_gateway_settings(path));
            if (arguments.count("check") == 0)
                return serve(settings, path);
            std::cout << "settings are right\n";
            return EXIT_SUCCESS;
        },
        [](const settings::settings_problems& problems)
        {
            std::cerr << problems;
            return status_usage;
        },
        [](const app::gateway_start_error& problem)
        {
            std::cerr << problem.what << ": " << problem.reason << '\n';
            return EXIT_FAILURE;
        },
        []
        {
            std::cerr << "the gateway can't start\n";
            return EXIT_FAILURE;
        });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
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
            std::cout << "roseworks-gateway " ROSEWORKS_VERSION "\n";
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
        std::cerr << "roseworks-gateway: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
