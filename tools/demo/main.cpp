// Client half of `make demo`: scripts/demo starts the processes, this sends
// real requests and checks the promises.

#include "tools/common/program.hpp"
#include "tools/demo/scenes.hpp"

#include <iostream>

namespace roseworks::tools
{

namespace
{

constexpr const char* endpoint_options[] = {"service", "weight-store"};
constexpr const char* endpoint_list_options[] = {"routers", "engines"};
constexpr const char* name_options[] = {
    "model", "once-service", "repeatable-service"};

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "roseworks-demo", "Sends the demo's requests and checks promises");
    cxxopts::OptionAdder adder = options.add_options();
    adder("h,help", "print this help");
    for (const char* name : endpoint_list_options)
    {
        adder(name, "their ip:port,...", cxxopts::value<std::string>());
    }
    for (const char* name : endpoint_options)
    {
        adder(name, "its ip:port", cxxopts::value<std::string>());
    }
    for (const char* name : name_options)
    {
        adder(name, "its name in the records", cxxopts::value<std::string>());
    }
    adder(
        "max-replicas",
        "declared of the model",
        cxxopts::value<std::uint64_t>());
    adder("store-slots", "declared", cxxopts::value<std::uint64_t>());
    return options;
}

boost::leaf::result<demo_fleet> read_fleet(const cxxopts::ParseResult& given)
{
    const auto text = [&given](const char* name)
    {
        return given[name].as<std::string>();
    };
    demo_fleet fleet;
    BOOST_LEAF_ASSIGN(fleet.routers, parse_endpoints(text("routers")));
    BOOST_LEAF_ASSIGN(fleet.engines, parse_endpoints(text("engines")));
    BOOST_LEAF_ASSIGN(fleet.service, parse_endpoint(text("service")));
    BOOST_LEAF_ASSIGN(fleet.weight_store, parse_endpoint(text("weight-store")));
    fleet.model = text("model");
    fleet.once_service = text("once-service");
    fleet.repeatable_service = text("repeatable-service");
    fleet.max_replicas = given["max-replicas"].as<std::uint64_t>();
    fleet.store_slots = given["store-slots"].as<std::uint64_t>();
    if (fleet.routers.empty())
    {
        return boost::leaf::new_error(input_error{"--routers is empty"});
    }
    return fleet;
}

boost::leaf::result<exit_code> run(const cxxopts::ParseResult& given)
{
    BOOST_LEAF_AUTO(fleet, read_fleet(given));
    promise_check promises;
    for (const auto show :
         {&show_burst,
          &show_stream,
          &show_dispatch,
          &show_service,
          &show_ledgers})
    {
        show(fleet, promises, std::cout);
    }
    for (const std::string& broken : promises.broken())
    {
        std::cout << "broken: " << broken << '\n';
    }
    return promises.broken().empty() ? exit_code::ok : exit_code::failed;
}

exit_code run_program(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help() << '\n';
        return exit_code::ok;
    }
    return run_and_explain(
        [&given]
        {
            return run(given);
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
