#include "tools/load/load_options.hpp"

#include "tools/common/exit_code.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace roseworks::tools
{

namespace
{

constexpr std::uint64_t longest_seconds = 3'600;
constexpr std::uint64_t most_requests = 1'000'000;
constexpr std::uint64_t most_in_flight = 10'000;
constexpr std::uint64_t most_rounds = 100;
constexpr std::uint64_t most_tokens = 100'000;
constexpr std::uint64_t most_chars = 1'000'000;
constexpr std::uint64_t longest_deadline_ms = 3'600'000;

/// A whole number with its bounds.
boost::leaf::result<std::uint64_t> read_number(
    const cxxopts::ParseResult& given,
    const std::string& name,
    std::uint64_t least,
    std::uint64_t most)
{
    const auto value = given[name].as<std::uint64_t>();
    if (value < least || value > most)
    {
        return boost::leaf::new_error(input_error{
            "--" + name + " must be from " + std::to_string(least) + " to " +
            std::to_string(most)});
    }
    return value;
}

boost::leaf::result<std::vector<endpoint>>
read_endpoints(const cxxopts::ParseResult& given, const std::string& name)
{
    BOOST_LEAF_AUTO(servers, parse_endpoints(given[name].as<std::string>()));
    const bool only_loopback = std::all_of(
        servers.begin(),
        servers.end(),
        [](const endpoint& server)
        {
            return server.address().is_loopback();
        });
    if (!only_loopback)
    {
        return boost::leaf::new_error(
            input_error{"--" + name + " must hold loopback addresses only"});
    }
    return servers;
}

boost::leaf::result<void>
read_trace(const cxxopts::ParseResult& given, load_options& options)
{
    const auto profile = find_trace_profile(
        given["profile"].as<std::string>(), given["scale"].as<double>());
    if (!profile)
    {
        return boost::leaf::new_error(
            input_error{"--profile or --scale is unknown"});
    }
    options.profile = *profile;
    options.seed = given["seed"].as<std::uint64_t>();
    options.speed = given["speed"].as<double>();
    options.from_hour = given["from-hour"].as<double>();
    options.once_share = given["once-share"].as<double>();
    const double hours =
        std::chrono::duration<double, std::ratio<3600>>(options.profile.length)
            .count();
    const bool in_range = options.speed > 0 && options.from_hour >= 0 &&
                          options.from_hour < hours &&
                          options.once_share >= 0 && options.once_share <= 1;
    if (!in_range)
    {
        return boost::leaf::new_error(input_error{
            "--speed, --from-hour or --once-share is out of range"});
    }
    return {};
}

boost::leaf::result<void>
read_limits(const cxxopts::ParseResult& given, load_options& options)
{
    BOOST_LEAF_AUTO(seconds, read_number(given, "seconds", 1, longest_seconds));
    BOOST_LEAF_AUTO(
        requests, read_number(given, "max-requests", 1, most_requests));
    BOOST_LEAF_AUTO(
        in_flight, read_number(given, "max-in-flight", 1, most_in_flight));
    BOOST_LEAF_AUTO(tokens, read_number(given, "max-tokens", 1, most_tokens));
    BOOST_LEAF_AUTO(
        chars, read_number(given, "max-prompt-chars", 1, most_chars));
    BOOST_LEAF_AUTO(
        deadline, read_number(given, "deadline-ms", 1, longest_deadline_ms));
    BOOST_LEAF_AUTO(rounds, read_number(given, "rounds", 1, most_rounds));
    options.length = std::chrono::seconds(seconds);
    options.max_requests = requests;
    options.max_in_flight = in_flight;
    options.max_tokens = static_cast<std::uint32_t>(tokens);
    options.max_prompt_chars = static_cast<std::uint32_t>(chars);
    options.deadline = std::chrono::milliseconds(deadline);
    options.rounds = rounds;
    return {};
}

} // namespace

cxxopts::Options known_load_options()
{
    using text = std::string;
    using number = std::uint64_t;
    cxxopts::Options options(
        "roseworks-load",
        "Sends a seeded trace to routers at the trace's own times, whatever "
        "they answer,\nand judges the answers by the stand-in engines' "
        "ledgers.");
    const auto value = []<class T>(T, const char* initial)
    {
        return cxxopts::value<T>()->default_value(initial);
    };
    cxxopts::OptionAdder add = options.add_options();
    add("h,help", "print this help");
    add("routers", "their ip:port,...; loopback", value(text(), ""));
    add("engine", "stand-in engines' ip:port,...", value(text(), ""));
    add("against", "compare mode: other routers", value(text(), ""));
    add("against-engine", "compare mode: their engines", value(text(), ""));
    add("rounds", "compare mode: times on each", value(number(), "1"));
    add("profile",
        "consortium, cooperative or scaled",
        value(text(), "consortium"));
    add("scale", "of scaled: the divisor", value(double(), "100"));
    add("seed", "of the trace", value(number(), "1"));
    add("from-hour", "where in the trace to begin", value(double(), "8"));
    add("speed", "trace time against real time", value(double(), "60"));
    add("seconds", "real time to send for", value(number(), "10"));
    add("max-requests", "to send at most", value(number(), "10000"));
    add("max-in-flight", "above: not sent, counted", value(number(), "1000"));
    add("max-tokens", "of an answer, at most", value(number(), "16"));
    add("max-prompt-chars", "of a prompt, at most", value(number(), "2000"));
    add("deadline-ms", "of each request", value(number(), "30000"));
    add("once-share", "requests with a key", value(double(), "0.1"));
    add("whole", "ask for whole answers instead of streams");
    add("json", "file for JSON lines", value(text(), ""));
    add("html", "file for the report", value(text(), ""));
    return options;
}

boost::leaf::result<load_options>
read_load_options(const cxxopts::ParseResult& given)
{
    load_options options;
    BOOST_LEAF_ASSIGN(options.target.routers, read_endpoints(given, "routers"));
    BOOST_LEAF_ASSIGN(options.target.engines, read_endpoints(given, "engine"));
    BOOST_LEAF_ASSIGN(
        options.against.routers, read_endpoints(given, "against"));
    BOOST_LEAF_ASSIGN(
        options.against.engines, read_endpoints(given, "against-engine"));
    if (options.target.routers.empty())
    {
        return boost::leaf::new_error(input_error{"--routers is empty"});
    }
    BOOST_LEAF_CHECK(read_trace(given, options));
    BOOST_LEAF_CHECK(read_limits(given, options));
    options.stream = given.count("whole") == 0;
    options.json_file = given["json"].as<std::string>();
    options.html_file = given["html"].as<std::string>();
    return options;
}

} // namespace roseworks::tools
