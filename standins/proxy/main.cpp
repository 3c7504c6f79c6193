// Fault-injecting TCP proxy.

#include "standins/common/program.hpp"
#include "standins/proxy/proxy_service.hpp"

int main(int argc, char** argv)
{
    using namespace roseworks::standins;
    cxxopts::Options options =
        make_options("standin-proxy", "Fault-injecting TCP proxy");
    options.add_options()(
        "listen",
        "address:port for clients, port 0 for a free one",
        text_value("127.0.0.1:0"))(
        "target",
        "address:port that the connections lead to",
        cxxopts::value<std::string>());
    return run_program(
        argc,
        argv,
        options,
        "control",
        [](const cxxopts::ParseResult& arguments)
        {
            return std::make_unique<proxy_service>(
                parse_endpoint(arguments["listen"].as<std::string>()),
                parse_endpoint(arguments["target"].as<std::string>()));
        });
}
