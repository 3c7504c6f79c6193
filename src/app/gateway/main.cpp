// roseworks-gateway: one process on every VM of the users' platform.

#include "adapters/settings/load_gateway_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "app/daemon_main.hpp"
#include "app/gateway/gateway_app.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

namespace leaf = boost::leaf;
using namespace roseworks;

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
            return app::status_usage;
        },
        [](const app::gateway_start_error& problem)
        {
            std::cerr << problem.what << ": " << problem.reason << '\n';
            return EXIT_FAILURE;
        },
        []
        {
            std::cerr << "the gateway failed to start\n";
            return EXIT_FAILURE;
        });
}

} // namespace

int main(int argc, char** argv)
{
    return app::daemon_main(
        argc,
        argv,
        "roseworks-gateway",
        "Forwards requests to rarely used models on a shared platform.",
        run);
}
