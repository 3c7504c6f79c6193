#include "adapters/settings/settings_table.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <type_traits>

namespace roseworks::settings
{

namespace
{

/// The strategies that can be configured: all those that the core implements.
constexpr std::array strategies{
    placement_kind::fixed_ttl,
    placement_kind::break_even,
    placement_kind::gap_cost,
    placement_kind::gap_cost_preload};

template <auto Section, auto Member>
void store(router_settings& settings, const setting_value& value)
{
    auto& member = settings.*Section.*Member;
    using member_type = std::remove_reference_t<decltype(member)>;
    if constexpr (std::is_same_v<member_type, std::string>)
        member = std::get<std::string>(value);
    else if constexpr (
        std::is_same_v<member_type, socket_address> ||
        std::is_same_v<member_type, std::optional<socket_address>>)
        member = std::get<socket_address>(value);
    else if constexpr (std::is_same_v<member_type, placement_kind>)
        member = strategies.at(std::get<std::int64_t>(value));
    else if constexpr (std::is_same_v<member_type, std::vector<socket_address>>)
        member = std::get<std::vector<socket_address>>(value);
    else
        member = static_cast<member_type>(std::get<std::int64_t>(value));
}

using text_view = std::string_view;

constexpr std::optional<text_view> required = std::nullopt;
constexpr text_view unset;
constexpr std::int64_t last_port = 65535;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t day_ms = 24 * hour_ms;
constexpr std::int64_t mebibyte = 1 << 20;
constexpr std::int64_t max_memory_mb = 1'000'000;

constexpr auto strategy_words = []
{
    std::array<text_view, strategies.size()> words{};
    for (std::size_t i = 0; i < words.size(); ++i)
        words[i] = to_string(strategies[i]);
    return words;
}();

// In the order of the enumerators of event_level and line_format.
constexpr std::array<text_view, 4> level_words = {
    "debug", "info", "warn", "error"};
constexpr std::array<text_view, 2> format_words = {"text", "json"};

template <auto Section, auto Member>
constexpr setting_row text_row(
    text_view section,
    text_view key,
    value_kind kind,
    std::optional<text_view> default_value,
    text_view text)
{
    return {
        section,
        key,
        kind,
        default_value,
        0,
        0,
        "",
        {},
        text,
        &store<Section, Member>};
}

template <auto Section, auto Member>
constexpr setting_row address_row(
    text_view section,
    text_view key,
    value_kind kind,
    std::optional<text_view> default_value,
    std::int64_t first_port,
    text_view text)
{
    return {
        section,
        key,
        kind,
        default_value,
        first_port,
        last_port,
        "",
        {},
        text,
        &store<Section, Member>};
}

template <auto Section, auto Member>
constexpr setting_row integer_row(
    text_view section,
    text_view key,
    text_view default_value,
    std::int64_t min,
    std::int64_t max,
    text_view unit,
    text_view text)
{
    return {
        section,
        key,
        value_kind::integer,
        default_value,
        min,
        max,
        unit,
        {},
        text,
        &store<Section, Member>};
}

template <auto Section, auto Member>
constexpr setting_row word_row(
    text_view section,
    text_view key,
    text_view default_value,
    std::span<const text_view> words,
    text_view text)
{
    return {
        section,
        key,
        value_kind::word,
        default_value,
        0,
        0,
        "",
        words,
        text,
        &store<Section, Member>};
}

constexpr section_row sections[] = {
    {"router", "The identity of this process and its address for callers."},
    {"peers", "Gossip with the other routers over UDP."},
    {"log", "The platform's append-only log."},
    {"vm_list", "The platform's list of VMs, which may lag behind."},
    {"leases",
     "Leases on engines. Only the holder of a lease may send orders to its "
     "engine."},
    {"traffic", "Limits and timeouts of requests and connections."},
    {"engines", "Reading the state of engines and sending them orders."},
    {"placement", "When idle replicas are unloaded and requested ones loaded."},
    {"grants",
     "Models that may be loaded while the log is unreachable; see "
     "docs/operations/log-outage.md. Must be the same on all routers."},
    {"tls", "The certificate presented to callers."},
    {"backend_tls", "TLS to engines and services."},
    {"platform_tls", "TLS to the log and the VM list."},
    {"operators",
     "Who may change the published configuration; see "
     "docs/operations/keys.md."},
    {"logging", "Where events are written; docs/EVENTS.md lists them."},
};

constexpr auto in_router = &router_settings::router;
constexpr auto in_peers = &router_settings::peers;
constexpr auto in_log = &router_settings::log;
constexpr auto in_vm_list = &router_settings::vm_list;
constexpr auto in_leases = &router_settings::leases;
constexpr auto in_traffic = &router_settings::traffic;
constexpr auto in_engines = &router_settings::engines;
constexpr auto in_placement = &router_settings::placement;
constexpr auto in_grants = &router_settings::grants;
constexpr auto in_tls = &router_settings::tls;
constexpr auto in_backend_tls = &router_settings::backend_tls;
constexpr auto in_platform_tls = &router_settings::platform_tls;
constexpr auto in_operators = &router_settings::operators;
constexpr auto in_logging = &router_settings::logging;

constexpr setting_row rows[] = {
    // clang-format off
    text_row<in_router, &router_section::name>(
        "router", "name", value_kind::name, required,
        "The VM's name, as in the VM list."),
    text_row<in_router, &router_section::data_centre>(
        "router", "data_centre", value_kind::name, required,
        "The data centre the VM is in."),
    address_row<in_router, &router_section::listen>(
        "router", "listen", value_kind::address, required, 0,
        "TCP address that serves callers. Port 0 selects a free port."),
    integer_row<in_router, &router_section::memory_mb>(
        "router", "memory_mb", "0", 0, max_memory_mb, "MB",
        "Memory of the VM, of which callers' requests may occupy a part "
        "(docs/CAPACITY.md). 0: what the kernel states."),
    integer_row<in_router, &router_section::traffic_threads>(
        "router", "traffic_threads", "2", 1, 64, "threads",
        "Threads that serve traffic; one additional thread maintains the "
        "control state."),
    integer_row<in_router, &router_section::drain_limit>(
        "router", "drain_limit_ms", "30000", 0, hour_ms, "ms",
        "How long a shutdown waits for requests in flight."),
    text_row<in_router, &router_section::address_file>(
        "router", "address_file", value_kind::path, unset,
        "File to which the bound addresses are written, one line each: "
        "`http ip:port` and `udp ip:port`."),

    address_row<in_peers, &peers_section::listen>(
        "peers", "listen", value_kind::address, required, 0,
        "UDP address that receives messages of other routers. Port 0 selects a "
        "free port."),
    address_row<in_peers, &peers_section::seeds>(
        "peers", "seeds", value_kind::address_list, unset, 1,
        "Routers to contact first; the VM list adds more."),
    integer_row<in_peers, &peers_section::probe_interval>(
        "peers", "probe_interval_ms", "1000", 50, minute_ms, "ms",
        "Time between two rounds of probes."),
    integer_row<in_peers, &peers_section::probe_fanout>(
        "peers", "probe_fanout", "3", 1, 16, "peers",
        "Peers probed in each round, regardless of how many there are."),
    integer_row<in_peers, &peers_section::suspect_after>(
        "peers", "suspect_after_ms", "5000", 200, 10 * minute_ms, "ms",
        "Time without a message after which a peer is suspected to have failed."),
    text_row<in_peers, &peers_section::mac_key_file>(
        "peers", "mac_key_file", value_kind::path, unset,
        "File with the key of the datagrams' authentication code. Must be the "
        "same on every router. Unset: datagrams are not authenticated."),

    address_row<in_log, &log_section::address>(
        "log", "address", value_kind::address, required, 1,
        "Address of the log service."),
    integer_row<in_log, &log_section::poll_wait>(
        "log", "poll_wait_ms", "1000", 10, minute_ms, "ms",
        "How long the log may hold a read that finds no new records."),
    integer_row<in_log, &log_section::gather>(
        "log", "gather_ms", "250", 0, 1000, "ms",
        "How long the router waits before it reads new records of others, so "
        "that one read returns several. It waits only while the log is busy (16 "
        "immediate reads are allowed, plus one more each interval), this router "
        "has no append in progress and no request waits for a replica. 0: "
        "records are read immediately."),
    integer_row<in_log, &log_section::max_batch_bytes>(
        "log", "max_batch_bytes", "262144", 4096, 16 * mebibyte, "bytes",
        "Maximum size of an append and of a read."),
    integer_row<in_log, &log_section::append_timeout>(
        "log", "append_timeout_ms", "2000", 10, minute_ms, "ms",
        "Time after which the response to an append is considered lost."),
    integer_row<in_log, &log_section::retry_max>(
        "log", "retry_max_ms", "5000", 10, 10 * minute_ms, "ms",
        "Maximum delay between two attempts while the log is unreachable."),
    integer_row<in_log, &log_section::checkpoint_records>(
        "log", "checkpoint_records", "50000", 8, 10'000'000, "records",
        "Records between two offsets at which a checkpoint may be taken. One is "
        "taken when the records after the last checkpoint make up a quarter of "
        "what the log keeps, after ten times as many records as this setting, "
        "or after two hours. Must be the same on every router."),

    address_row<in_vm_list, &vm_list_section::address>(
        "vm_list", "address", value_kind::address, unset, 1,
        "Address of the VM list service. Unset: leaving VMs are detected by "
        "other signs only."),
    integer_row<in_vm_list, &vm_list_section::poll>(
        "vm_list", "poll_ms", "1000", 50, minute_ms, "ms",
        "Time between two reads of the list."),

    integer_row<in_leases, &leases_section::term>(
        "leases", "term_ms", "30000", 500, hour_ms, "ms",
        "How long a lease lasts after its renewal was sent. Must be the same on "
        "every router."),
    integer_row<in_leases, &leases_section::renew>(
        "leases", "renew_ms", "10000", 50, hour_ms, "ms",
        "Time between two renewals."),
    integer_row<in_leases, &leases_section::margin>(
        "leases", "margin_ms", "3000", 10, hour_ms, "ms",
        "Safety margin for differing clock rates: the holder of a lease stops "
        "using it this long before its end, and a router that takes it over "
        "waits this much longer. Must be the same on every router."),

    integer_row<in_traffic, &traffic_section::default_deadline>(
        "traffic", "default_deadline_ms", "30000", 1, hour_ms, "ms",
        "Deadline of a request that does not specify one."),
    integer_row<in_traffic, &traffic_section::max_deadline>(
        "traffic", "max_deadline_ms", "3600000", 1, hour_ms, "ms",
        "The longest deadline that a request may specify."),
    integer_row<in_traffic, &traffic_section::max_header_bytes>(
        "traffic", "max_header_bytes", "16384", 1024, mebibyte, "bytes",
        "Maximum size of a request's header."),
    integer_row<in_traffic, &traffic_section::max_body_bytes>(
        "traffic", "max_body_bytes", "8388608", 1024, 256 * mebibyte, "bytes",
        "Maximum size of a request's body."),
    integer_row<in_traffic, &traffic_section::max_queued_per_model>(
        "traffic", "max_queued_per_model", "1000", 1, 1'000'000, "requests",
        "Maximum number of requests waiting for one model."),
    integer_row<in_traffic, &traffic_section::max_queued>(
        "traffic", "max_queued", "4000", 1, 1'000'000, "requests",
        "Maximum number of waiting requests in total."),
    integer_row<in_traffic, &traffic_section::max_connections>(
        "traffic", "max_connections", "4096", 1, 1'000'000, "connections",
        "Maximum number of open connections of callers; more are not accepted."),
    integer_row<in_traffic, &traffic_section::connect_timeout>(
        "traffic", "connect_timeout_ms", "1000", 1, minute_ms, "ms",
        "Time limit for connecting to a backend server."),
    integer_row<in_traffic, &traffic_section::first_byte_timeout>(
        "traffic", "first_byte_timeout_ms", "30000", 1, hour_ms, "ms",
        "Time limit from the last byte of a request to the first byte of the "
        "response."),
    integer_row<in_traffic, &traffic_section::idle_byte_timeout>(
        "traffic", "idle_byte_timeout_ms", "10000", 1, hour_ms, "ms",
        "Time limit between two bytes of a response."),
    integer_row<in_traffic, &traffic_section::connection_max_age>(
        "traffic", "connection_max_age_ms", "300000", 100, day_ms, "ms",
        "Age at which a connection to a backend server is no longer used."),
    integer_row<in_traffic, &traffic_section::retry_budget_percent>(
        "traffic", "retry_budget_percent", "20", 0, 100, "percent",
        "Retries allowed, as a percentage of a model's requests."),
    integer_row<in_traffic, &traffic_section::stream_buffer_bytes>(
        "traffic", "stream_buffer_bytes", "65536", 1024, 16 * mebibyte,
        "bytes",
        "Bytes of a stream buffered for a slow caller before reading stops."),
    integer_row<in_traffic, &traffic_section::caller_idle>(
        "traffic", "caller_idle_ms", "60000", 100, hour_ms, "ms",
        "Time that a caller's connection may stay open without a request."),
    integer_row<in_traffic, &traffic_section::backend_connections_max_idle>(
        "traffic", "backend_connections_max_idle", "64", 0, 65'536,
        "connections",
        "Maximum number of idle connections kept open to each backend server."),

    integer_row<in_engines, &engines_section::poll>(
        "engines", "poll_ms", "500", 10, minute_ms, "ms",
        "Time between two reads of an engine's state."),
    integer_row<in_engines, &engines_section::order_timeout>(
        "engines", "order_timeout_ms", "5000", 10, minute_ms, "ms",
        "Time after which the response to an order is considered lost."),
    text_row<in_engines, &engines_section::credentials_file>(
        "engines", "credentials_file", value_kind::path, unset,
        "File with the credential presented to engines that authenticate "
        "orders. Read again every 5 s. Unset: none is presented."),

    word_row<in_placement, &placement_section::strategy>(
        "placement", "strategy", "break_even", strategy_words,
        "Strategy that decides how long an idle replica is kept, unless the "
        "published policy names one."),
    integer_row<in_placement, &placement_section::idle_ttl>(
        "placement", "idle_ttl_ms", "300000", 0, 7 * day_ms, "ms",
        "Idle time after which `fixed_ttl` unloads a replica; the other "
        "strategies use it as the break-even time of a model that loads in 10 "
        "s."),
    integer_row<in_placement, &placement_section::demand_interval>(
        "placement", "demand_interval_ms", "50", 1, minute_ms, "ms",
        "Time between two demand reports to the proposing router."),

    integer_row<in_grants, &grants_section::memory_mib>(
        "grants", "memory_mib", "0", 0, 1 << 24, "MiB",
        "Memory that a standing grant reserves on its engine; 0: this router "
        "opens no grants. Set it only if every router of the deployment "
        "supports grants."),
    integer_row<in_grants, &grants_section::engines>(
        "grants", "engines", "1", 1, 1000, "",
        "Number of standing grants in the whole deployment, at most one per "
        "engine."),
    integer_row<in_grants, &grants_section::slots>(
        "grants", "slots", "1", 1, 1000, "",
        "Weight-store slots that each grant reserves, used or not. At least one "
        "slot is left for loads decided in the log; grants beyond that are "
        "refused."),
    integer_row<in_grants, &grants_section::models>(
        "grants", "models", "128", 1, 10'000, "",
        "Cold models that each grant names, most recently requested first."),
    integer_row<in_grants, &grants_section::term>(
        "grants", "term_ms", "1800000", minute_ms, 2 * hour_ms, "ms",
        "How long a grant may be used after its holder last reached the log. If "
        "the holder dies without proof of its death, the lease of its engine is "
        "not taken over for the same time."),

    text_row<in_tls, &tls_section::certificate_file>(
        "tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate presented to callers, with its chain. Read "
        "again every 5 s and on SIGHUP; open connections are kept. Unset: "
        "callers are served over plain HTTP."),
    text_row<in_tls, &tls_section::key_file>(
        "tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_backend_tls, &outgoing_tls_section::ca_file>(
        "backend_tls", "ca_file", value_kind::path, unset,
        "PEM file of the certificates trusted to sign those of engines and "
        "services, which must contain the server's IP address as a subject "
        "alternative name. Read again every 5 s and on SIGHUP. Unset: plain "
        "HTTP."),
    text_row<in_backend_tls, &outgoing_tls_section::certificate_file>(
        "backend_tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate that this router presents to them, with "
        "its chain. Unset: none is presented."),
    text_row<in_backend_tls, &outgoing_tls_section::key_file>(
        "backend_tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_platform_tls, &outgoing_tls_section::ca_file>(
        "platform_tls", "ca_file", value_kind::path, unset,
        "PEM file of the certificates trusted to sign those of the log and the "
        "VM list, which must contain the server's IP address as a subject "
        "alternative name. Read again every 5 s and on SIGHUP. Unset: plain "
        "HTTP."),
    text_row<in_platform_tls, &outgoing_tls_section::certificate_file>(
        "platform_tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate that this router presents to them, with "
        "its chain. Unset: none is presented."),
    text_row<in_platform_tls, &outgoing_tls_section::key_file>(
        "platform_tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_operators, &operators_section::key_file>(
        "operators", "key_file", value_kind::path, unset,
        "File with the public keys expected to sign operators' records: "
        "`[keys]` with lines `number = 64 hex digits`. The log decides which "
        "keys are accepted; this router reports RW1114 if the file differs. "
        "Read again every 5 s. Unset: nothing is compared."),

    word_row<in_logging, &logging_section::level>(
        "logging", "level", "info", level_words,
        "The lowest level that is written."),
    word_row<in_logging, &logging_section::format>(
        "logging", "format", "text", format_words,
        "Plain text lines, or one JSON object per line."),
    text_row<in_logging, &logging_section::file>(
        "logging", "file", value_kind::path, unset,
        "File to append to. Unset: the standard error stream."),
    // clang-format on
};

bool lease_is_renewed_in_time(const router_settings& settings)
{
    const leases_section& leases = settings.leases;
    return leases.renew + leases.margin < leases.term;
}

bool default_deadline_fits(const router_settings& settings)
{
    const traffic_section& traffic = settings.traffic;
    return traffic.default_deadline <= traffic.max_deadline;
}

bool model_queue_fits(const router_settings& settings)
{
    const traffic_section& traffic = settings.traffic;
    return traffic.max_queued_per_model <= traffic.max_queued;
}

bool suspicion_outlasts_probe(const router_settings& settings)
{
    const peers_section& peers = settings.peers;
    return peers.probe_interval < peers.suspect_after;
}

bool tls_files_go_together(const router_settings& settings)
{
    const tls_section& tls = settings.tls;
    return tls.certificate_file.empty() == tls.key_file.empty();
}

template <auto Section>
bool outgoing_files_go_together(const router_settings& settings)
{
    const outgoing_tls_section& tls = settings.*Section;
    return tls.certificate_file.empty() == tls.key_file.empty();
}

template <auto Section>
bool outgoing_identity_has_trust(const router_settings& settings)
{
    const outgoing_tls_section& tls = settings.*Section;
    return tls.certificate_file.empty() || !tls.ca_file.empty();
}

constexpr setting_rule rules[] = {
    {"peers",
     {"suspect_after_ms", "probe_interval_ms"},
     "probe_interval_ms is less than suspect_after_ms",
     &suspicion_outlasts_probe},
    {"leases",
     {"renew_ms", "margin_ms", "term_ms"},
     "renew_ms + margin_ms is less than term_ms",
     &lease_is_renewed_in_time},
    {"traffic",
     {"default_deadline_ms", "max_deadline_ms"},
     "default_deadline_ms is at most max_deadline_ms",
     &default_deadline_fits},
    {"traffic",
     {"max_queued_per_model", "max_queued"},
     "max_queued_per_model is at most max_queued",
     &model_queue_fits},
    {"tls",
     {"certificate_file", "key_file"},
     "certificate_file and key_file are both set or both unset",
     &tls_files_go_together},
    {"backend_tls",
     {"certificate_file", "key_file"},
     "certificate_file and key_file are both set or both unset",
     &outgoing_files_go_together<in_backend_tls>},
    {"backend_tls",
     {"certificate_file", "ca_file"},
     "certificate_file is set only together with ca_file",
     &outgoing_identity_has_trust<in_backend_tls>},
    {"platform_tls",
     {"certificate_file", "key_file"},
     "certificate_file and key_file are both set or both unset",
     &outgoing_files_go_together<in_platform_tls>},
    {"platform_tls",
     {"certificate_file", "ca_file"},
     "certificate_file is set only together with ca_file",
     &outgoing_identity_has_trust<in_platform_tls>},
};

} // namespace

std::span<const section_row> setting_sections()
{
    return sections;
}

std::span<const setting_row> setting_rows()
{
    return rows;
}

std::span<const setting_rule> setting_rules()
{
    return rules;
}

bool is_section(std::string_view section)
{
    return std::ranges::find(sections, section, &section_row::name) !=
           std::end(sections);
}

const setting_row* find_row(std::string_view section, std::string_view key)
{
    const auto matches = [section, key](const setting_row& row)
    {
        return row.section == section && row.key == key;
    };
    const auto found = std::ranges::find_if(rows, matches);
    return found == std::end(rows) ? nullptr : &*found;
}

} // namespace roseworks::settings
