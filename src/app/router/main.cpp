// roseworks-router: the one daemon, on every entry VM.

#include "adapters/peers/mac_keys.hpp"
#include "adapters/platform/credentials.hpp"
#include "adapters/settings/load_router_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "app/daemon_main.hpp"
#include "app/router_app.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

namespace leaf = boost::leaf;
using namespace roseworks;

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
            return app::status_usage;
        },
        [](const platform::credentials_error& problem)
        {
            std::cerr << problem.file << ": " << problem.what << '\n';
            return app::status_usage;
        },
        [](const mac_key_error& problem)
        {
            std::cerr << problem.what << '\n';
            return app::status_usage;
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
    return app::daemon_main(
        argc,
        argv,
        "roseworks-router",
        "Routes requests to rarely used models.",
        run);
}
