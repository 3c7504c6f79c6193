// Folds the log to any offset, prints the state and the trail of changes, and
// checks every promise again, independently of the fold.

#include "tools/audit/invariant_checker.hpp"
#include "tools/common/program.hpp"
#include "tools/common/state_tables.hpp"
#include "tools/common/tls_options.hpp"
#include "tools/common/trail.hpp"

#include <boost/json/serialize.hpp>

#include <iostream>

namespace roseworks::tools
{

namespace
{

/// What the command line asks for.
struct audit_options
{
    endpoint log;
    std::chrono::milliseconds timeout{};
    tls_contexts_ptr secured; ///< null: plain HTTP
    log_offset last = log_history::no_limit;
    bool verify = false;
    bool trail = true;
    bool as_json = false;
};

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "roseworks-audit", "Folds the log, prints and checks it");
    options.add_options()("h,help", "print this help")(
        "version", "print the version")(
        "log", "the log's ip:port", cxxopts::value<std::string>())(
        "at",
        "fold up to this offset; without it, all",
        cxxopts::value<std::uint64_t>())(
        "verify", "check every invariant again; exit 1 when one is broken")(
        "no-trail", "print the state only")("json", "print JSON")(
        "timeout-ms",
        "limit of each call to the log",
        cxxopts::value<std::uint32_t>()->default_value("10000"));
    cxxopts::OptionAdder adder = options.add_options();
    add_ca_option(adder, "log");
    add_certificate_options(adder);
    return options;
}

boost::leaf::result<audit_options>
read_options(const cxxopts::ParseResult& arguments)
{
    audit_options options;
    if (arguments.count("log") == 0)
    {
        return boost::leaf::new_error(input_error{"--log ip:port is missing"});
    }
    BOOST_LEAF_ASSIGN(
        options.log, parse_endpoint(arguments["log"].as<std::string>()));
    options.timeout =
        std::chrono::milliseconds(arguments["timeout-ms"].as<std::uint32_t>());
    BOOST_LEAF_ASSIGN(options.secured, load_tls(arguments, "log"));
    if (arguments.count("at") != 0)
    {
        options.last = log_offset(arguments["at"].as<std::uint64_t>());
    }
    options.verify = arguments.count("verify") != 0;
    options.trail = arguments.count("no-trail") == 0;
    options.as_json = arguments.count("json") != 0;
    return options;
}

void print_text(
    const log_history& history, const trail_writer& trail, bool with_trail)
{
    for (const state_view& view : state_views())
    {
        const text_table table = view.build(history);
        if (!table.rows.empty())
        {
            std::cout << "== " << view.name << '\n' << table << '\n';
        }
    }
    if (!with_trail)
    {
        return;
    }
    std::cout << "== trail\n";
    for (const trail_entry& entry : trail.entries())
    {
        std::cout << entry;
    }
}

void print_json(
    const log_history& history, const trail_writer& trail, bool with_trail)
{
    boost::json::object all;
    for (const state_view& view : state_views())
    {
        all[view.name] = to_json(view.build(history));
    }
    if (with_trail)
    {
        boost::json::array lines;
        for (const trail_entry& entry : trail.entries())
        {
            lines.push_back(to_json(entry));
        }
        all["trail"] = std::move(lines);
    }
    std::cout << boost::json::serialize(all) << '\n';
}

exit_code report(const invariant_checker& checker)
{
    for (const violation& broken : checker.violations())
    {
        std::cerr << "broken at offset " << broken.offset.value << ": "
                  << broken.what << '\n';
    }
    std::cerr << "verified " << checker.checked() << " accepted records, "
              << checker.violations().size() << " broken promises\n";
    return checker.violations().empty() ? exit_code::ok : exit_code::failed;
}

boost::leaf::result<exit_code> run(const cxxopts::ParseResult& arguments)
{
    BOOST_LEAF_AUTO(options, read_options(arguments));
    log_client client(options.log, options.timeout, options.secured.get());
    log_history history(client, options.last);
    trail_writer trail;
    invariant_checker checker;
    history.observe(trail);
    history.observe(checker);
    BOOST_LEAF_CHECK(history.load());
    const auto print = options.as_json ? &print_json : &print_text;
    print(history, trail, options.trail);
    return options.verify ? report(checker) : exit_code::ok;
}

exit_code run_handled(const cxxopts::ParseResult& arguments)
{
    return run_and_explain(
        [&]
        {
            return run(arguments);
        },
        [](const log_error& error)
        {
            std::cerr << "log unavailable (" << error.detail << ")\n";
            return exit_code::log_unavailable;
        });
}

exit_code run_program(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0)
    {
        std::cout << options.help() << '\n' << exit_code_help;
        return exit_code::ok;
    }
    if (arguments.count("version") != 0)
    {
        std::cout << "roseworks-audit " << ROSEWORKS_VERSION << '\n';
        return exit_code::ok;
    }
    return run_handled(arguments);
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
