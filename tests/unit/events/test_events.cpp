#include "adapters/events/event_catalogue.hpp"
#include "adapters/events/log4cplus_event_sink.hpp"
#include "adapters/events/null_event_sink.hpp"

#include <boost/json/parse.hpp>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace roseworks;
using namespace roseworks::events;

/// Appends the formatted lines to a string.
class string_appender final : public log4cplus::Appender
{
public:
    explicit string_appender(std::string& text)
        : out(text)
    {
    }

    ~string_appender() override
    {
        this->destructorImpl();
    }

    void close() override {}

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        std::ostringstream line;
        this->layout->formatAndAppend(line, event);
        this->out += line.str();
    }

private:
    std::string& out;
};

/// A sink and the text that it wrote.
struct fixture
{
    std::string text;
    log4cplus_event_sink sink;

    explicit fixture(line_format format, event_level level = event_level::info)
        : sink(
              {"colombo-a-r1", level, format, ""},
              log4cplus::SharedAppenderPtr(new string_appender(this->text)))
    {
    }

    /// @return The text without the time of its first line.
    std::string without_time() const
    {
        const auto space = this->text.find(' ');
        return space == std::string::npos ? "" : this->text.substr(space + 1);
    }
};

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

Test(events, writes_text_lines)
{
    fixture output(line_format::text);
    output.sink.report(
        event_id::lease_lapsed, {{"engine", "e1"}, {"age_ms", 30000}});
    cr_expect(
        output.without_time() ==
        "WARN colombo-a-r1 RW1203 lease_lapsed engine=e1 age_ms=30000\n");
    const std::regex utc(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z .*\n)");
    cr_expect(std::regex_match(output.text, utc), "%s", output.text.c_str());
}

Test(events, writes_json_lines)
{
    fixture output(line_format::json);
    output.sink.report(
        event_id::peer_joined, {{"peer", "r\"2\n"}, {"incarnation", -7}});
    const auto line = boost::json::parse(output.text).as_object();
    cr_expect(line.at("event") == "RW1401");
    cr_expect(line.at("name") == "peer_joined");
    cr_expect(line.at("level") == "info");
    cr_expect(line.at("vm") == "colombo-a-r1");
    cr_expect(line.at("fields").at("peer") == "r\"2\n");
    cr_expect(line.at("fields").at("incarnation") == -7);
    cr_expect(line.at("time").as_string().size() == 24);
}

Test(events, drops_lower_levels)
{
    fixture output(line_format::text, event_level::warn);
    output.sink.report(event_id::router_started);
    output.sink.report(event_id::caller_left);
    cr_expect(output.text.empty());
    output.sink.report(event_id::internal_error);
    cr_expect(output.without_time().starts_with("ERROR "));
}

Test(events, keeps_hostile_values_on_their_line)
{
    fixture output(line_format::text);
    output.sink.report(
        event_id::peer_joined,
        {{"peer", "x\nRW1005 router_stopped"},
         {"address", "\x1b[2J\x7f a=b"},
         {"reason", ""},
         {"bad", "\xff\xfe%m"},
         {"good", "caf\xc3\xa9"}});
    cr_expect(
        output.without_time() ==
            "INFO colombo-a-r1 RW1401 peer_joined "
            "peer=\"x\\nRW1005 router_stopped\" "
            "address=\"\\u001b[2J? a=b\" reason=\"\" bad=\"??%m\" "
            "good=\"caf\xc3\xa9\"\n",
        "%s",
        output.text.c_str());
}

Test(events, cuts_long_values_between_characters)
{
    fixture output(line_format::json);
    const std::string value = std::string(511, 'x') + "\xc3\xa9" + "tail";
    output.sink.report(event_id::peer_joined, {{"peer", value}});
    const auto line = boost::json::parse(output.text).as_object();
    cr_expect(
        line.at("fields").at("peer").as_string() ==
        std::string(511, 'x') + "...");
}

Test(events, holds_large_unsigned_values_at_the_maximum)
{
    const event_field field("n", std::uint64_t(-1));
    cr_expect(
        std::get<std::int64_t>(field.value) ==
        std::numeric_limits<std::int64_t>::max());
}

Test(events, appends_to_a_file)
{
    std::string path = std::filesystem::temp_directory_path() / "eventsXXXXXX";
    const int file = ::mkstemp(path.data());
    cr_assert(file >= 0);
    for (int run = 0; run < 2; ++run)
    {
        event_sink_options options;
        options.vm = "r1";
        options.file = path;
        const auto sink = log4cplus_event_sink::make(options);
        cr_assert(sink != nullptr);
        sink->report(event_id::router_ready);
    }
    const std::string text = read_file(path);
    std::filesystem::remove(path);
    cr_expect(std::ranges::count(text, '\n') == 2);
}

Test(events, refuses_a_file_it_cannot_open)
{
    event_sink_options options;
    options.file = "/nonexistent/events.log";
    cr_expect(log4cplus_event_sink::make(options) == nullptr);
}

Test(events, null_sink_takes_everything)
{
    null_event_sink sink;
    sink.report(event_id::bad_request, {{"status", 400}});
}

Test(events, catalogue_has_every_enumerator)
{
    const std::string header =
        read_file(ROSEWORKS_SOURCE_DIR "/src/ports/event_sink.hpp");
    const std::regex enumerator(R"((\w+) = (1\d{3})[,\n])");
    std::map<int, std::string> declared;
    for (std::sregex_iterator each(header.begin(), header.end(), enumerator);
         each != std::sregex_iterator();
         ++each)
    {
        declared[std::stoi((*each)[2])] = (*each)[1];
    }
    std::map<int, std::string> listed;
    for (const event_entry& entry : catalogue())
        listed[entry.number()] = entry.name;
    cr_expect(declared == listed);
    cr_expect(!listed.empty());
}

Test(events, finds_entries_and_fields)
{
    const event_entry* const entry = find_entry(event_id::lease_lapsed);
    cr_assert(entry != nullptr);
    cr_expect(entry->name == "lease_lapsed");
    cr_expect(entry->has_field("engine"));
    cr_expect(entry->has_field("term_ms"));
    cr_expect(!entry->has_field("term"));
    cr_expect(!entry->has_field(""));
    cr_expect(find_entry(static_cast<event_id>(1)) == nullptr);
}

Test(events, committed_catalogue_is_current)
{
    std::ostringstream output;
    write_catalogue(output);
    cr_expect(
        read_file(ROSEWORKS_SOURCE_DIR "/docs/EVENTS.md") == output.str(),
        "run: events-reference > docs/EVENTS.md");
    for (const event_entry& entry : catalogue())
    {
        const std::string cell = "| `" + std::string(entry.name) + "` |";
        cr_expect(output.str().find(cell) != std::string::npos);
    }
}
