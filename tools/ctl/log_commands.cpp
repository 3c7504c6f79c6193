#include "tools/ctl/command.hpp"
#include "tools/lines/loss_table.hpp"
#include "tools/lines/request_story.hpp"

#include <boost/json/serialize.hpp>

#include <charconv>
#include <fstream>
#include <functional>
#include <iostream>
#include <utility>

namespace roseworks::tools
{

namespace
{

using line_taker = std::function<void(const std::optional<log_line>&)>;

/// Standard input, read once.
constexpr std::string_view standard_input = "-";

void read_lines(std::istream& in, const line_taker& take)
{
    std::string text;
    while (std::getline(in, text))
        take(parse_log_line(text));
}

boost::leaf::result<void>
read_files(std::span<const std::string> paths, const line_taker& take)
{
    for (const std::string& path : paths)
    {
        std::ifstream file(path);
        if (!file)
            return boost::leaf::new_error(input_error{"can't read " + path});
        read_lines(file, take);
    }
    return {};
}

boost::leaf::result<double> number_of(const std::string& text)
{
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end || value < 0)
        return boost::leaf::new_error(
            input_error{"--worth: not ROUTE=NUMBER: " + text});
    return value;
}

boost::leaf::result<std::map<std::string, double, std::less<>>>
worth_of(std::span<const std::string> given)
{
    std::map<std::string, double, std::less<>> worth;
    for (const std::string& text : given)
    {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos)
            return boost::leaf::new_error(
                input_error{"--worth: not ROUTE=NUMBER: " + text});
        BOOST_LEAF_AUTO(value, number_of(text.substr(equals + 1)));
        worth[text.substr(0, equals)] = value;
    }
    return worth;
}

boost::leaf::result<loss_table::options>
table_options(const command_context& context)
{
    constexpr std::uint64_t ms_in_s = 1000;
    constexpr std::uint64_t longest_s = 86'400;
    BOOST_LEAF_AUTO(window_s, context.number("window-s"));
    if (window_s < 1 || window_s > longest_s)
        return boost::leaf::new_error(input_error{"--window-s: 1 to 86400 s"});
    loss_table::options made;
    made.window_ms = static_cast<std::int64_t>(window_s * ms_in_s);
    BOOST_LEAF_ASSIGN(made.worth, worth_of(context.texts("worth")));
    return made;
}

boost::leaf::result<void> count_losses(
    std::span<const std::string> paths, loss_table& table, fleet_context& fleet)
{
    const auto count = [&](const std::optional<log_line>& line)
    {
        if (line)
            table.take(*line, fleet);
        else
            table.unreadable_line();
    };
    if (paths.size() == 1 && paths.front() == standard_input)
    {
        // Read once: the causes are those told before a request's end.
        read_lines(
            std::cin,
            [&](const std::optional<log_line>& line)
            {
                if (line)
                    fleet.take(*line);
                count(line);
            });
        return {};
    }
    BOOST_LEAF_CHECK(read_files(
        paths,
        [&](const std::optional<log_line>& line)
        {
            if (line)
                fleet.take(*line);
        }));
    return read_files(paths, count);
}

} // namespace

command_result run_losses(command_context& context)
{
    const std::vector<std::string> paths = context.texts("files");
    if (paths.empty())
        return boost::leaf::new_error(
            input_error{"files of log lines are missing; `-` reads standard "
                        "input"});
    BOOST_LEAF_AUTO(chosen, table_options(context));
    loss_table table(std::move(chosen));
    fleet_context fleet;
    BOOST_LEAF_CHECK(count_losses(paths, table, fleet));
    if (context.flag("json"))
        context.out << boost::json::serialize(table.to_json()) << '\n';
    else
        table.print(context.out);
    return exit_code::ok;
}

command_result run_story(command_context& context)
{
    const std::vector<std::string> given = context.texts("request-and-files");
    if (given.size() < 2)
        return boost::leaf::new_error(
            input_error{"a request's id and files of log lines are needed"});
    const std::span<const std::string> paths = std::span(given).subspan(1);
    request_story story(given.front());
    BOOST_LEAF_CHECK(read_files(
        paths,
        [&](const std::optional<log_line>& line)
        {
            if (line)
                story.learn(*line);
        }));
    BOOST_LEAF_CHECK(read_files(
        paths,
        [&](const std::optional<log_line>& line)
        {
            if (line)
                story.take(*line);
        }));
    story.print(context.out);
    return story.found() ? exit_code::ok : exit_code::failed;
}

} // namespace roseworks::tools
