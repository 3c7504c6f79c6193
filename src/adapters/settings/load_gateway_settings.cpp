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

constexpr std::string_view bool_words[] = {"false", "true"};
constexpr std::int64_t max_ms = 3'600'000;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::int64_t max_relay_offset = 100;

/// Stores a parsed value in its member of the settings.
/// @return Whether the member accepts the value.
using store_value = bool (*)(gateway_settings&, const setting_value&);

struct gateway_row
{
    setting_row row;
    store_value store;
};

template <auto Section, auto Member>
bool store_member(gateway_settings& settings, const setting_value& value)
{
    auto& member = (settings.*Section).*Member;
    using member_type = std::remove_reference_t<decltype(member)>;
    if constexpr (std::is_same_v<member_type, std::string>)
        member = std::get<std::string>(value);
    else if constexpr (std::is_same_v<member_type, socket_address>)
        member = std::get<socket_address>(value);
    else if constexpr (std::is_same_v<member_type, std::chrono::milliseconds>)
        member = std::chrono::milliseconds(std::get<std::int64_t>(value));
    else if constexpr (std::is_same_v<member_type, bool>)
        member = std::get<std::int64_t>(value) != 0;
    else
        member = static_cast<member_type>(std::get<std::int64_t>(value));
    return true;
}

/// Parses a decimal fraction. The value parser has no kind for fractions, so
/// they are read as names.
/// @return The number; empty if the text is not a non-negative number.
std::optional<double> parse_fraction(const setting_value& value)
{
    constexpr double max_value = 1e9;
    const std::string& text = std::get<std::string>(value);
    double number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    const bool fully_parsed =
        error == std::errc() && end == text.data() + text.size();
    if (!fully_parsed || number < 0 || number > max_value)
        return std::nullopt;
    return number;
}

/// Stores a number that must be at most 1.
template <auto Section, auto Member>
bool store_share(gateway_settings& settings, const setting_value& value)
{
    const auto number = parse_fraction(value);
    const bool is_valid = number && *number <= 1;
    if (is_valid)
        (settings.*Section).*Member = *number;
    return is_valid;
}

/// Stores a duration that the file gives in seconds, possibly with decimals.
template <auto Section, auto Member>
bool store_seconds(gateway_settings& settings, const setting_value& value)
{
    constexpr double ms_per_second = 1000;
    const auto seconds = parse_fraction(value);
    if (!seconds)
        return false;
    (settings.*Section).*Member = std::chrono::milliseconds(
        static_cast<std::int64_t>(*seconds * ms_per_second));
    return true;
}

template <auto Section, auto Member>
bool store_fraction(gateway_settings& settings, const setting_value& value)
{
    const auto number = parse_fraction(value);
    if (number)
        (settings.*Section).*Member = *number;
    return number.has_value();
}

constexpr auto vm = &gateway_settings::vm;
constexpr auto listen = &gateway_settings::listen;
constexpr auto store = &gateway_settings::store;
constexpr auto bounds = &gateway_settings::bounds;
constexpr auto room = &gateway_settings::room;
constexpr auto pace = &gateway_settings::pace;
constexpr auto placement = &gateway_settings::placement;
constexpr auto hedging = &gateway_settings::hedging;
constexpr auto quota = &gateway_settings::quota;
constexpr auto log = &gateway_settings::log;

template <class Settings, class Section>
Section section_of(Section Settings::*);

using vm_section = decltype(section_of(vm));
using listen_section = decltype(section_of(listen));
using store_section = decltype(section_of(store));
using bounds_section = decltype(section_of(bounds));
using room_section = decltype(section_of(room));
using pace_section = decltype(section_of(pace));
using placement_section = decltype(section_of(placement));
using hedging_section = decltype(section_of(hedging));
using quota_section = decltype(section_of(quota));
using log_section = decltype(section_of(log));

setting_row
row(std::string_view section,
    std::string_view key,
    value_kind kind,
    std::optional<std::string_view> default_value,
    std::int64_t min,
    std::int64_t max,
    std::string_view unit,
    std::string_view text,
    std::span<const std::string_view> words = {})
{
    return {
        section,
        key,
        kind,
        default_value,
        min,
        max,
        unit,
        words,
        text,
        nullptr};
}

std::vector<gateway_row> make_settings_rows()
{
    using enum value_kind;
    return {
        {row("vm", "name", name, std::nullopt, 0, 0, "", "Name of this VM."),
         &store_member<vm, &vm_section::name>},
        {row("vm",
             "data_centre",
             name,
             std::nullopt,
             0,
             0,
             "",
             "The VM's data centre; servers in it are preferred."),
         &store_member<vm, &vm_section::data_centre>},
        {row("vm",
             "cores",
             name,
             "0.25",
             0,
             0,
             "cores",
             "Processor cores that the VM may use; VMs with more cores are "
             "preferred as the owner of placement."),
         &store_fraction<vm, &vm_section::cores>},
        {row("vm",
             "link_mbps",
             name,
             "100",
             0,
             0,
             "Mbit/s",
             "Rate of the VM's network link."),
         &store_fraction<vm, &vm_section::link_mbps>},
        {row("vm",
             "memory_mb",
             integer,
             "0",
             0,
             max_memory_mb,
             "MB",
             "Memory of the VM, of which callers' requests may occupy a part "
             "(docs/CAPACITY.md). 0: what the kernel states."),
         &store_member<vm, &vm_section::memory_mb>},
        {row("vm",
             "first_start",
             word,
             "false",
             0,
             0,
             "",
             "Whether the whole deployment is starting for the first time, "
             "so that no engine has received an order yet.",
             bool_words),
         &store_member<vm, &vm_section::first_start>},
        {row("listen",
             "requests",
             address,
             std::nullopt,
             0,
             max_port,
             "",
             "Address for callers."),
         &store_member<listen, &listen_section::requests>},
        {row("listen",
             "readiness",
             address,
             std::nullopt,
             0,
             max_port,
             "",
             "Address where the load balancer checks whether this VM "
             "accepts callers."),
         &store_member<listen, &listen_section::readiness>},
        {row("listen",
             "peers",
             address,
             std::nullopt,
             0,
             max_port,
             "",
             "UDP and TCP address for the other routers."),
         &store_member<listen, &listen_section::peers>},
        {row("listen",
             "metrics",
             address,
             std::nullopt,
             0,
             max_port,
             "",
             "Address that serves metrics in the Prometheus text format at "
             "/metrics."),
         &store_member<listen, &listen_section::metrics>},
        {row("listen",
             "relay_offset",
             integer,
             "0",
             0,
             max_relay_offset,
             "ports",
             "Distance from the port of `peers` to the TCP port where other "
             "routers ask for connections to backend servers that they don't "
             "reach themselves; the same on all routers. 0: connections aren't "
             "relayed."),
         &store_member<listen, &listen_section::relay_offset>},
        {row("store",
             "address",
             address,
             std::nullopt,
             1,
             max_port,
             "",
             "Address of the platform's store."),
         &store_member<store, &store_section::address>},
        {row("store",
             "shortest_term_ms",
             integer,
             "1000",
             1,
             max_ms,
             "ms",
             "The shortest term that a member of a group may have."),
         &store_member<store, &store_section::shortest_term>},
        {row("bounds",
             "grace_s",
             name,
             "8",
             0,
             0,
             "s",
             "Time from SIGTERM until the process is killed."),
         &store_seconds<bounds, &bounds_section::grace>},
        {row("bounds",
             "leaving_ms",
             integer,
             "2000",
             1,
             max_ms,
             "ms",
             "Time after a server announces that it is leaving until it "
             "must receive no new requests."),
         &store_member<bounds, &bounds_section::leaving>},
        {row("bounds",
             "heartbeat_ms",
             integer,
             "1000",
             1,
             max_ms,
             "ms",
             "Interval at which servers write to the registry; entries expire "
             "after three intervals without a write."),
         &store_member<bounds, &bounds_section::heartbeat>},
        {row("bounds",
             "configuration_ms",
             integer,
             "2000",
             1,
             max_ms,
             "ms",
             "Time within which a new configuration must be in force "
             "everywhere."),
         &store_member<bounds, &bounds_section::configuration>},
        {row("bounds",
             "lease_ms",
             integer,
             "3000",
             0,
             max_ms,
             "ms",
             "Time that an owner which regains an engine waits after its "
             "own last order to that engine."),
         &store_member<bounds, &bounds_section::lease>},
        {row("bounds",
             "fences_checked",
             word,
             "false",
             0,
             0,
             "",
             "Whether engines refuse orders with an old fencing number.",
             bool_words),
         &store_member<bounds, &bounds_section::fences_checked>},
        {row("bounds",
             "retry_ratio",
             name,
             "0.2",
             0,
             0,
             "retries/request",
             "Retries per request that all routers together may make for "
             "one service in a window."),
         &store_fraction<bounds, &bounds_section::retry_ratio>},
        {row("bounds",
             "retry_window_s",
             name,
             "10",
             0,
             0,
             "s",
             "The window of retry_ratio."),
         &store_seconds<bounds, &bounds_section::retry_window>},
        {row("bounds",
             "retry_extra",
             name,
             "50",
             0,
             0,
             "retries",
             "Retries allowed in a window in addition to retry_ratio."),
         &store_fraction<bounds, &bounds_section::retry_extra>},
        {row("bounds",
             "load_window_s",
             name,
             "5",
             0,
             0,
             "s",
             "The window of the weight store's rate."),
         &store_seconds<bounds, &bounds_section::load_window>},
        {row("bounds",
             "load_factor",
             name,
             "1.1",
             0,
             0,
             "",
             "Multiple of the weight store's rate at which loads may begin "
             "within a window."),
         &store_fraction<bounds, &bounds_section::load_factor>},
        {row("bounds",
             "limit_window_s",
             name,
             "8",
             0,
             0,
             "s",
             "The window over which an organisation's use is summed across "
             "all routers."),
         &store_seconds<bounds, &bounds_section::limit_window>},
        {row("bounds",
             "limit_excess",
             name,
             "0.1",
             0,
             0,
             "",
             "Fraction of an organisation's limit that may be used in "
             "excess of it."),
         &store_fraction<bounds, &bounds_section::limit_excess>},
        {row("bounds",
             "limit_slack",
             name,
             "0",
             0,
             0,
             "tokens",
             "Tokens allowed in a window in addition to limit_excess."),
         &store_fraction<bounds, &bounds_section::limit_slack>},
        {row("room",
             "count_saturated",
             word,
             "false",
             0,
             0,
             "",
             "Whether the requests at saturated engines are counted over all "
             "routers.",
             bool_words),
         &store_member<room, &room_section::count_saturated>},
        {row("room",
             "queue_share",
             name,
             "0.1",
             0,
             0,
             "",
             "Requests that may wait at a saturated engine, as a share of its "
             "slots; at most 1."),
         &store_share<room, &room_section::queue_share>},
        {row("pace",
             "estimate",
             word,
             "false",
             0,
             0,
             "",
             "Whether the speed of engines is estimated from the answers of "
             "all routers.",
             bool_words),
         &store_member<pace, &pace_section::estimate>},
        {row("placement",
             "copies_by_room",
             word,
             "false",
             0,
             0,
             "",
             "Whether the number of copies of a model and the choice of their "
             "engines follow demand and free room.",
             bool_words),
         &store_member<placement, &placement_section::copies_by_room>},
        {row("hedging",
             "extra_share",
             name,
             "0",
             0,
             0,
             "",
             "Second attempts before the first has failed, as a share of a "
             "service's requests over all routers; at most 1, 0: none."),
         &store_share<hedging, &hedging_section::extra_share>},
        {row("quota",
             "order_by_urgency",
             word,
             "false",
             0,
             0,
             "",
             "Whether an organisation's limit goes to its urgent requests "
             "first while it asks for more than the limit.",
             bool_words),
         &store_member<quota, &quota_section::order_by_urgency>},
        {row("log",
             "lines_per_second",
             integer,
             "400",
             1,
             1'000'000,
             "lines/s",
             "Maximum number of log lines per second; more are dropped and "
             "counted."),
         &store_member<log, &log_section::lines_per_second>},
        {row("log",
             "served_per_second",
             integer,
             "40",
             0,
             1'000'000,
             "lines/s",
             "Maximum number of log lines per second for requests served "
             "on the first attempt."),
         &store_member<log, &log_section::served_per_second>},
    };
}

const std::vector<gateway_row>& rows()
{
    static const std::vector<gateway_row> all = make_settings_rows();
    return all;
}

const gateway_row* find(std::string_view section, std::string_view key)
{
    const auto found = std::ranges::find_if(
        rows(),
        [&](const gateway_row& setting)
        {
            return setting.row.section == section && setting.row.key == key;
        });
    return found == rows().end() ? nullptr : &*found;
}

/// Parses one value and stores it in the settings.
/// @return The problem; empty if there is none.
std::string read_value(
    gateway_settings& settings,
    const gateway_row& setting,
    std::string_view text)
{
    // A deployment leaves a value empty if it does not define it.
    if (text.empty() && setting.row.default_value)
        text = *setting.row.default_value;
    parsed_value value = parse_value(setting.row, text);
    if (!value.value)
        return value.reason;
    return setting.store(settings, *value.value) ? ""
                                                 : "not a non-negative number";
}

} // namespace

boost::leaf::result<gateway_settings>
load_gateway_settings(std::istream& in, std::string_view name)
{
    const std::string text(
        std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>{});
    ini_text ini = read_ini(text, name);
    settings_problems problems{std::move(ini.problems)};
    gateway_settings settings;
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
        const gateway_row* setting = find(entry.section, entry.key);
        if (setting == nullptr)
            report(entry, "unknown key", "");
        else if (!seen.emplace(entry.section, entry.key).second)
            report(entry, "duplicate key", "");
        else if (std::string fault =
                     read_value(settings, *setting, entry.value);
                 !fault.empty())
            report(entry, std::move(fault), describe_allowed(setting->row));
    }
    for (const gateway_row& setting : rows())
    {
        const std::pair<std::string, std::string> key(
            setting.row.section, setting.row.key);
        if (seen.contains(key))
            continue;
        if (!setting.row.default_value)
            report(
                {0, key.first, key.second, ""},
                "missing",
                describe_allowed(setting.row));
        else
            static_cast<void>(
                read_value(settings, setting, *setting.row.default_value));
    }
    if (!problems.all.empty())
        return boost::leaf::new_error(std::move(problems));
    return settings;
}

boost::leaf::result<gateway_settings>
load_gateway_settings(std::string_view path)
{
    std::ifstream file{std::string(path)};
    if (!file)
        return boost::leaf::new_error(settings_problems{
            {{std::string(path), 0, "", "", "cannot be opened", ""}}});
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
    for (const gateway_row& setting : rows())
    {
        text += "| `" + std::string(setting.row.section) + "` | `" +
                std::string(setting.row.key) + "` | " +
                describe_allowed(setting.row) + " | " +
                std::string(setting.row.default_value.value_or("required")) +
                " | " + std::string(setting.row.text) + " |\n";
    }
    return text;
}

} // namespace roseworks::settings
