#include "tools/load/load_options.hpp"

#include "tools/common/exit_code.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

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

constexpr double least_scale = 1;
constexpr double most_scale = 10'000;
constexpr double least_speed = 0.01;
constexpr double most_speed = 100'000;

double trace_hours(const load_options& options)
{
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    return hours(options.profile.length).count();
}

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

/// A number with its bounds.
boost::leaf::result<double> read_real(
    const cxxopts::ParseResult& given,
    const std::string& name,
    double least,
    double most)
{
    const auto value = given[name].as<double>();
    if (!(value >= least && value <= most))
    {
        std::ostringstream text;
        text << "--" << name << " must be from " << least << " to " << most;
        return boost::leaf::new_error(input_error{text.str()});
    }
    return value;
}

boost::leaf::result<void>
read_trace(const cxxopts::ParseResult& given, load_options& options)
{
    BOOST_LEAF_ASSIGN(
        options.scale, read_real(given, "scale", least_scale, most_scale));
    const auto name = given["profile"].as<std::string>();
    const auto profile = find_trace_profile(name, options.scale);
    if (!profile)
    {
        return boost::leaf::new_error(input_error{
            "--profile must be consortium, cooperative or scaled, not " +
            name});
    }
    options.profile = *profile;
    options.seed = given["seed"].as<std::uint64_t>();
    BOOST_LEAF_ASSIGN(
        options.speed, read_real(given, "speed", least_speed, most_speed));
    BOOST_LEAF_ASSIGN(
        options.from_hour,
        read_real(given, "from-hour", 0, trace_hours(options)));
    BOOST_LEAF_ASSIGN(options.once_share, read_real(given, "once-share", 0, 1));
    return {};
}

/// The whole run must lie in the trace.
boost::leaf::result<void> check_length(const load_options& options)
{
    const double end = slice_options(options, options.rounds).from_hour;
    if (end <= trace_hours(options))
    {
        return {};
    }
    std::ostringstream text;
    text << "the trace ends at hour " << trace_hours(options)
         << ", but --from-hour, --speed, --seconds and --rounds reach hour "
         << end;
    return boost::leaf::new_error(input_error{text.str()});
}

boost::leaf::result<std::optional<endpoint>>
read_log(const cxxopts::ParseResult& given, const std::string& name)
{
    BOOST_LEAF_AUTO(servers, read_endpoints(given, name));
    if (servers.size() > 1)
    {
        return boost::leaf::new_error(
            input_error{"--" + name + " must be one ip:port"});
    }
    return servers.empty() ? std::optional<endpoint>()
                           : std::optional(servers.front());
}

/// A target's addresses under the names of their options.
boost::leaf::result<load_target> read_target(
    const cxxopts::ParseResult& given,
    const std::string& routers,
    const std::string& engines,
    const std::string& log)
{
    load_target target;
    BOOST_LEAF_ASSIGN(target.routers, read_endpoints(given, routers));
    BOOST_LEAF_ASSIGN(target.engines, read_endpoints(given, engines));
    BOOST_LEAF_ASSIGN(target.log, read_log(given, log));
    const bool only_routers = target.engines.empty() && !target.log;
    if (target.routers.empty() && !only_routers)
    {
        return boost::leaf::new_error(input_error{
            "--" + engines + " or --" + log + " without --" + routers});
    }
    return target;
}

boost::leaf::result<void> check_targets(const load_options& options)
{
    if (options.target.routers.empty())
    {
        return boost::leaf::new_error(
            input_error{"--routers ip:port,... is missing"});
    }
    if (options.against.routers.empty())
    {
        return options.rounds == 1
                   ? boost::leaf::result<void>()
                   : boost::leaf::new_error(input_error{
                         "--rounds is for compare mode: --against is missing"});
    }
    if (options.target.engines.empty() != options.against.engines.empty())
    {
        return boost::leaf::new_error(input_error{
            "compare mode needs both --engine and --against-engine, or "
            "neither: figures of one side can't be compared"});
    }
    return {};
}

/// Rather now than after the run.
boost::leaf::result<std::string>
read_file_name(const cxxopts::ParseResult& given, const std::string& name)
{
    auto file = given[name].as<std::string>();
    if (!file.empty() && !std::ofstream(file, std::ios::app))
    {
        return boost::leaf::new_error(
            input_error{"--" + name + ": can't write " + file});
    }
    return file;
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
        "ledgers.\nCompare mode starts neither side: start two fleets, by the "
        "two settings files or\nbuilds, and give the first by --routers, "
        "--engine and --log, the second by\n--against, --against-engine and "
        "--against-log. scripts/compare-load does both.");
    const auto value = []<class T>(T, const char* initial)
    {
        return cxxopts::value<T>()->default_value(initial);
    };
    cxxopts::OptionAdder add = options.add_options();
    add("h,help", "print this help");
    add("routers", "their ip:port,...; loopback", value(text(), ""));
    add("engine", "stand-in engines' ip:port,...", value(text(), ""));
    add("log", "the log, for declared replicas", value(text(), ""));
    add("against", "compare mode: other routers", value(text(), ""));
    add("against-engine", "compare mode: their engines", value(text(), ""));
    add("against-log", "compare mode: their log", value(text(), ""));
    add("rounds",
        "compare mode: slices of --seconds, each on both",
        value(number(), "1"));
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

std::string describe_trace(const load_options& options)
{
    std::ostringstream text;
    text << options.profile.name;
    if (options.profile.name == "scaled")
    {
        text << ", two-year size divided by " << options.scale;
    }
    text << ", seed " << options.seed;
    return text.str();
}

load_options slice_options(const load_options& options, std::uint64_t slice)
{
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    load_options moved = options;
    moved.from_hour += hours(options.length).count() * options.speed *
                       static_cast<double>(slice);
    return moved;
}

boost::leaf::result<load_options>
read_load_options(const cxxopts::ParseResult& given)
{
    if (!given.unmatched().empty())
    {
        return boost::leaf::new_error(
            input_error{"not an option: " + given.unmatched().front()});
    }
    load_options options;
    BOOST_LEAF_ASSIGN(
        options.target, read_target(given, "routers", "engine", "log"));
    BOOST_LEAF_ASSIGN(
        options.against,
        read_target(given, "against", "against-engine", "against-log"));
    BOOST_LEAF_CHECK(read_trace(given, options));
    BOOST_LEAF_CHECK(read_limits(given, options));
    BOOST_LEAF_CHECK(check_targets(options));
    BOOST_LEAF_CHECK(check_length(options));
    options.stream = given.count("whole") == 0;
    BOOST_LEAF_ASSIGN(options.json_file, read_file_name(given, "json"));
    BOOST_LEAF_ASSIGN(options.html_file, read_file_name(given, "html"));
    return options;
}

} // namespace roseworks::tools
