// roseworks-router: the one daemon, on every entry VM.

#include "adapters/peers/mac_keys.hpp"
#include "adapters/platform/credentials.hpp"
#include "adapters/settings/load_router_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "app/router_app.hpp"

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
        "roseworks-router", "Routes requests to rarely used models.");
    options.add_options()(
        "config", "The INI file of settings.", cxxopts::value<std::string>())(
        "check", "Check the settings and exit: 0 when right, else 2.")(
        "help", "Show this text.")("version", "Show the version.");
    return options;
}

/// Checks the files that the settings name, too.
leaf::result<int> check(const settings::router_settings& settings)
{
    BOOST_LEAF_CHECK(app::make_control_options(settings, {}));
    BOOST_LEAF_CHECK(app::make_tls_contexts(settings));
    std::cout << "settings are right\n";
    return EXIT_SUCCESS;
}

leaf::result<int> serve(const settings::router_settings& settings)
{
    BOOST_LEAF_AUTO(router, app::router_app::make(settings));
    return router->run(std::cout);
}

int run(const cxxopts::ParseResult& arguments)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_AUTO(
                settings,
                settings::load_router_settings(
                    arguments["config"].as<std::string>()));
            return arguments.count("check") != 0 ? check(settings)
                                                 : serve(settings);
        },
        [](const settings::settings_problems& problems)
        {
            std::cerr << problems;
            return status_usage;
        },
        [](const platform::credentials_problem& problem)
        {
            std::cerr << problem.file << ": " << problem.what << '\n';
            return status_usage;
        },
        [](const mac_key_error& problem)
        {
            std::cerr << problem.what << '\n';
            return status_usage;
        },
        [](const app::startup_error& problem)
        {
            std::cerr << problem.what << ": " << problem.reason << '\n';
            return EXIT_FAILURE;
        },
        []
        {
            std::cerr << "the router can't start\n";
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
            std::cout << "roseworks-router " ROSEWORKS_VERSION "\n";
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
        std::cerr << "roseworks-router: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
