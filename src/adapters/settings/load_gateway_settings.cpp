#include "adapters/settings/load_gateway_settings.hpp"

#include "adapters/settings/ini_reader.hpp"
#include "adapters/settings/settings_table.hpp"
#include "adapters/settings/value_parser.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <istream>
#include <iterator>
#include <set>
#include <utility>

namespace roseworks::settings
{

namespace
{

constexpr std::string_view yes_no[] = {"false", "true"};
constexpr std::int64_t most_ms = 3'600'000;
constexpr std::int64_t most_port = 65'535;

/// Puts a value in its place.
/// @return Whether it makes sense there.
using store_value = bool (*)(gateway_settings&, const setting_value&);

struct gateway_row
{
    setting_row row;
    store_value store;
};

template <auto Section, auto Member>
bool put(gateway_settings& into, const setting_value& value)
{
    auto& place = (into.*Section).*Member;
    using kind = std::remove_reference_t<decltype(place)>;
    if constexpr (std::is_same_v<kind, std::string>)
        place = std::get<std::string>(value);
    else if constexpr (std::is_same_v<kind, socket_address>)
        place = std::get<socket_address>(value);
    else if constexpr (std::is_same_v<kind, std::chrono::milliseconds>)
        place = std::chrono::milliseconds(std::get<std::int64_t>(value));
    else if constexpr (std::is_same_v<kind, bool>)
        place = std::get<std::int64_t>(value) != 0;
    else
        place = static_cast<kind>(std::get<std::int64_t>(value));
    return true;
}

/// @return A fraction, which the file's grammar has as a name; empty when it
///         isn't one from 0 on.
std::optional<double> fraction_of(const setting_value& value)
{
    constexpr double most = 1e9;
    const std::string& text = std::get<std::string>(value);
    double number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    if (!whole || number < 0 || number > most)
        return std::nullopt;
    return number;
}

/// Seconds or a fraction in the file, milliseconds in the settings.
template <auto Section, auto Member>
bool put_seconds(gateway_settings& into, const setting_value& value)
{
    constexpr double ms_per_second = 1000;
    const auto seconds = fraction_of(value);
    if (!seconds)
        return false;
    (into.*Section).*Member = std::chrono::milliseconds(
        static_cast<std::int64_t>(*seconds * ms_per_second));
    return true;
}

template <auto Section, auto Member>
bool put_fraction(gateway_settings& into, const setting_value& value)
{
    const auto number = fraction_of(value);
    if (number)
        (into.*Section).*Member = *number;
    return number.has_value();
}

constexpr auto vm = &gateway_settings::vm;
constexpr auto listen = &gateway_settings::listen;
constexpr auto store = &gateway_settings::store;
constexpr auto bounds = &gateway_settings::bounds;
constexpr auto log = &gateway_settings::log;

template <class Settings, class Section>
Section section_of(Section Settings::*);

using vm_section = decltype(section_of(vm));
using listen_section = decltype(section_of(listen));
using store_section = decltype(section_of(store));
using bounds_section = decltype(section_of(bounds));
using log_section = decltype(section_of(log));

setting_row
row(std::string_view section,
    std::string_view key,
    value_kind kind,
    std::optional<std::string_view> fallback,
    std::int64_t min,
    std::int64_t max,
    std::string_view unit,
    std::string_view text,
    std::span<const std::string_view> words = {})
{
    return {section, key, kind, fallback, min, max, unit, words, text, nullptr};
}

std::vector<gateway_row> make_rows()
{
    using enum value_kind;
    return {
        {row("vm", "name", name, std::nullopt, 0, 0, "", "Name of this VM."),
         &put<vm, &vm_section::name>},
        {row("vm",
             "data_centre",
             name,
             std::nullopt,
             0,
             0,
             "",
             "Its data centre; servers there are preferred."),
         &put<vm, &vm_section::data_centre>},
        {row("vm",
             "cores",
             name,
             "0.25",
             0,
             0,
             "cores",
             "What the VM may use; stronger ones apply to own placement."),
         &put_fraction<vm, &vm_section::cores>},
        {row("vm",
             "link_mbps",
             name,
             "100",
             0,
             0,
             "Mbit/s",
             "The VM's network link."),
         &put_fraction<vm, &vm_section::link_mbps>},
        {row("vm",
             "first_start",
             word,
             "false",
             0,
             0,
             "",
             "Whether the whole deployment starts just now: nobody has ordered "
             "an engine.",
             yes_no),
         &put<vm, &vm_section::first_start>},
        {row("listen",
             "requests",
             address,
             std::nullopt,
             0,
             most_port,
             "",
             "Where callers connect."),
         &put<listen, &listen_section::requests>},
        {row("listen",
             "readiness",
             address,
             std::nullopt,
             0,
             most_port,
             "",
             "Where the load balancer asks whether to send callers."),
         &put<listen, &listen_section::readiness>},
        {row("listen",
             "peers",
             address,
             std::nullopt,
             0,
             most_port,
             "",
             "UDP and TCP, for the other routers."),
         &put<listen, &listen_section::peers>},
        {row("listen",
             "metrics",
             address,
             std::nullopt,
             0,
             most_port,
             "",
             "Metrics as Prometheus text at /metrics."),
         &put<listen, &listen_section::metrics>},
        {row("store",
             "address",
             address,
             std::nullopt,
             1,
             most_port,
             "",
             "The platform's store."),
         &put<store, &store_section::address>},
        {row("store",
             "shortest_term_ms",
             integer,
             "1000",
             1,
             most_ms,
             "ms",
             "The shortest term of a group's member."),
         &put<store, &store_section::shortest_term>},
        {row("bounds",
             "grace_s",
             name,
             "8",
             0,
             0,
             "s",
             "From SIGTERM until the process is killed."),
         &put_seconds<bounds, &bounds_section::grace>},
        {row("bounds",
             "leaving_ms",
             integer,
             "2000",
             1,
             most_ms,
             "ms",
             "A server that leaves gets nothing new so long after it said so."),
         &put<bounds, &bounds_section::leaving>},
        {row("bounds",
             "configuration_ms",
             integer,
             "2000",
             1,
             most_ms,
             "ms",
             "A new configuration is in force everywhere within so long."),
         &put<bounds, &bounds_section::configuration>},
        {row("bounds",
             "lease_ms",
             integer,
             "3000",
             0,
             most_ms,
             "ms",
             "An owner that regains an engine waits so long from its own last "
             "order to it."),
         &put<bounds, &bounds_section::lease>},
        {row("bounds",
             "fences_checked",
             word,
             "false",
             0,
             0,
             "",
             "Whether engines refuse orders with an old fencing number.",
             yes_no),
         &put<bounds, &bounds_section::fences_checked>},
        {row("bounds",
             "retry_ratio",
             name,
             "0.2",
             0,
             0,
             "retries/request",
             "Of all routers together, for one service, in a window."),
         &put_fraction<bounds, &bounds_section::retry_ratio>},
        {row("bounds",
             "retry_window_s",
             name,
             "10",
             0,
             0,
             "s",
             "The window of retry_ratio."),
         &put_seconds<bounds, &bounds_section::retry_window>},
        {row("bounds",
             "retry_extra",
             name,
             "50",
             0,
             0,
             "retries",
             "Allowed in a window beside retry_ratio."),
         &put_fraction<bounds, &bounds_section::retry_extra>},
        {row("bounds",
             "load_window_s",
             name,
             "5",
             0,
             0,
             "s",
             "The window of the weight store's rate."),
         &put_seconds<bounds, &bounds_section::load_window>},
        {row("bounds",
             "load_factor",
             name,
             "1.1",
             0,
             0,
             "",
             "Times the weight store's rate that may begin in a window."),
         &put_fraction<bounds, &bounds_section::load_factor>},
        {row("bounds",
             "limit_window_s",
             name,
             "8",
             0,
             0,
             "s",
             "In which an organisation's use is summed up over all routers."),
         &put_seconds<bounds, &bounds_section::limit_window>},
        {row("bounds",
             "limit_excess",
             name,
             "0.1",
             0,
             0,
             "",
             "Part of an organisation's limit that may be used beyond it."),
         &put_fraction<bounds, &bounds_section::limit_excess>},
        {row("bounds",
             "limit_slack",
             name,
             "0",
             0,
             0,
             "tokens",
             "Allowed in a window beside limit_excess."),
         &put_fraction<bounds, &bounds_section::limit_slack>},
        {row("log",
             "lines_per_second",
             integer,
             "400",
             1,
             1'000'000,
             "lines/s",
             "More are left out and counted."),
         &put<log, &log_section::lines_per_second>},
        {row("log",
             "served_per_second",
             integer,
             "40",
             0,
             1'000'000,
             "lines/s",
             "Of requests that were served at once."),
         &put<log, &log_section::served_per_second>},
    };
}

const std::vector<gateway_row>& rows()
{
    static const std::vector<gateway_row> all = make_rows();
    return all;
}

const gateway_row* find(std::string_view section, std::string_view key)
{
    const auto found = std::ranges::find_if(
        rows(),
        [&](const gateway_row& one)
        {
            return one.row.section == section && one.row.key == key;
        });
    return found == rows().end() ? nullptr : &*found;
}

/// Reads one value and puts it in its place.
/// @return What is wrong; empty when nothing is.
std::string
take(gateway_settings& into, const gateway_row& one, std::string_view text)
{
    // A value that the deployment doesn't know is left empty.
    if (text.empty() && one.row.fallback)
        text = *one.row.fallback;
    parsed_value value = parse_value(one.row, text);
    if (!value.value)
        return value.reason;
    return one.store(into, *value.value) ? "" : "not a number from 0 on";
}

} // namespace

boost::leaf::result<gateway_settings>
load_gateway_settings(std::istream& in, std::string_view name)
{
    const std::string text(
        std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>{});
    ini_text ini = read_ini(text, name);
    settings_problems problems{std::move(ini.problems)};
    gateway_settings made;
    std::set<std::pair<std::string, std::string>> seen;
    const auto report =
        [&](const ini_entry& entry, std::string reason, std::string allowed)
    {
        problems.all.push_back(
            {std::string(name),
             entry.line,
             entry.section,
             entry.key,
             std::move(reason),
             std::move(allowed)});
    };
    for (const ini_entry& entry : ini.entries)
    {
        const gateway_row* one = find(entry.section, entry.key);
        if (one == nullptr)
            report(entry, "unknown key", "");
        else if (!seen.emplace(entry.section, entry.key).second)
            report(entry, "given twice", "");
        else if (std::string fault = take(made, *one, entry.value);
                 !fault.empty())
            report(entry, std::move(fault), describe_allowed(one->row));
    }
    for (const gateway_row& one : rows())
    {
        const std::pair<std::string, std::string> key(
            one.row.section, one.row.key);
        if (seen.contains(key))
            continue;
        if (!one.row.fallback)
            report(
                {0, key.first, key.second, ""},
                "missing",
                describe_allowed(one.row));
        else
            static_cast<void>(take(made, one, *one.row.fallback));
    }
    if (!problems.all.empty())
        return boost::leaf::new_error(std::move(problems));
    return made;
}

boost::leaf::result<gateway_settings>
load_gateway_settings(std::string_view path)
{
    std::ifstream file{std::string(path)};
    if (!file)
        return boost::leaf::new_error(settings_problems{
            {{std::string(path), 0, "", "", "can't be read", ""}}});
    return load_gateway_settings(file, path);
}

std::string gateway_reference()
{
    std::string text = "# Settings of the gateway\n\n"
                       "<!-- Generated: `settings-reference gateway > "
                       "docs/SETTINGS-gateway.md`. -->\n\n"
                       "`roseworks-gateway --config FILE` reads one INI file; "
                       "`--check` only checks it. Unknown,\n"
                       "duplicate and out-of-range keys are problems, listed "
                       "with file, line, section and key.\n"
                       "A key with a default may be left empty.\n\n"
                       "| section | key | allowed | default | meaning |\n"
                       "|---|---|---|---|---|\n";
    for (const gateway_row& one : rows())
    {
        text += "| `" + std::string(one.row.section) + "` | `" +
                std::string(one.row.key) + "` | " + describe_allowed(one.row) +
                " | " + std::string(one.row.fallback.value_or("required")) +
                " | " + std::string(one.row.text) + " |\n";
    }
    return text;
}

} // namespace roseworks::settings
