#include "adapters/settings/settings_table.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <type_traits>

namespace roseworks::settings
{

namespace
{

/// The strategies that a router can be set to; all that the core makes.
constexpr std::array strategies{
    placement_kind::fixed_ttl,
    placement_kind::break_even,
    placement_kind::gap_cost,
    placement_kind::gap_cost_preload};

template <auto Section, auto Member>
void store(router_settings& settings, const setting_value& value)
{
    auto& cell = settings.*Section.*Member;
    using cell_type = std::remove_reference_t<decltype(cell)>;
    if constexpr (std::is_same_v<cell_type, std::string>)
        cell = std::get<std::string>(value);
    else if constexpr (
        std::is_same_v<cell_type, socket_address> ||
        std::is_same_v<cell_type, std::optional<socket_address>>)
        cell = std::get<socket_address>(value);
    else if constexpr (std::is_same_v<cell_type, placement_kind>)
        cell = strategies.at(std::get<std::int64_t>(value));
    else if constexpr (std::is_same_v<cell_type, std::vector<socket_address>>)
        cell = std::get<std::vector<socket_address>>(value);
    else
        cell = static_cast<cell_type>(std::get<std::int64_t>(value));
}

using text_view = std::string_view;

constexpr std::optional<text_view> required = std::nullopt;
constexpr text_view unset;
constexpr std::int64_t last_port = 65535;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t day_ms = 24 * hour_ms;
constexpr std::int64_t mebibyte = 1 << 20;

constexpr auto strategy_words = []
{
    std::array<text_view, strategies.size()> words{};
    for (std::size_t i = 0; i < words.size(); ++i)
        words[i] = to_string(strategies[i]);
    return words;
}();

// In the order of the enumerators.
constexpr std::array<text_view, 4> level_words = {
    "debug", "info", "warn", "error"};
constexpr std::array<text_view, 2> format_words = {"text", "json"};

template <auto Section, auto Member>
constexpr setting_row text_row(
    text_view section,
    text_view key,
    value_kind kind,
    std::optional<text_view> fallback,
    text_view text)
{
    return {
        section,
        key,
        kind,
        fallback,
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
    std::optional<text_view> fallback,
    std::int64_t first_port,
    text_view text)
{
    return {
        section,
        key,
        kind,
        fallback,
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
    text_view fallback,
    std::int64_t min,
    std::int64_t max,
    text_view unit,
    text_view text)
{
    return {
        section,
        key,
        value_kind::integer,
        fallback,
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
    text_view fallback,
    std::span<const text_view> words,
    text_view text)
{
    return {
        section,
        key,
        value_kind::word,
        fallback,
        0,
        0,
        "",
        words,
        text,
        &store<Section, Member>};
}

constexpr section_row sections[] = {
    {"router", "Who this process is and where callers reach it."},
    {"peers", "Hints exchanged with the other routers, over UDP."},
    {"log", "The platform's append-only log."},
    {"vm_list", "The platform's lagging list of VMs."},
    {"leases", "Leases on engines: the right to give them orders."},
    {"traffic", "Limits and timeouts of requests and connections."},
    {"engines", "Reading the state of engines and giving them orders."},
    {"placement", "When idle replicas are unloaded and wanted ones loaded."},
    {"grants",
     "What may be loaded while the log is away; "
     "docs/operations/log-outage.md. The same at all routers."},
    {"tls", "The certificate that callers see."},
    {"backend_tls", "TLS towards engines and services."},
    {"platform_tls", "TLS towards the log and the VM list."},
    {"operators", "Who may change what is published; docs/operations/keys.md."},
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
        "Where callers are served, TCP. Port 0 takes a free one."),
    integer_row<in_router, &router_section::traffic_threads>(
        "router", "traffic_threads", "2", 1, 64, "threads",
        "Threads that serve traffic; one more keeps the control state."),
    integer_row<in_router, &router_section::drain_limit>(
        "router", "drain_limit_ms", "30000", 0, hour_ms, "ms",
        "How long a shutdown waits for requests in flight."),
    text_row<in_router, &router_section::address_file>(
        "router", "address_file", value_kind::path, unset,
        "File to which the bound addresses are written, one line each: "
        "`http ip:port` and `udp ip:port`."),

    address_row<in_peers, &peers_section::listen>(
        "peers", "listen", value_kind::address, required, 0,
        "Where other routers are heard, UDP. Port 0 takes a free one."),
    address_row<in_peers, &peers_section::seeds>(
        "peers", "seeds", value_kind::address_list, unset, 1,
        "Routers to greet first; the VM list adds to them."),
    integer_row<in_peers, &peers_section::probe_interval>(
        "peers", "probe_interval_ms", "1000", 50, minute_ms, "ms",
        "Time between two rounds of probes."),
    integer_row<in_peers, &peers_section::probe_fanout>(
        "peers", "probe_fanout", "3", 1, 16, "peers",
        "Peers probed each round, however many there are."),
    integer_row<in_peers, &peers_section::suspect_after>(
        "peers", "suspect_after_ms", "5000", 200, 10 * minute_ms, "ms",
        "Silence after which a peer is suspected."),
    text_row<in_peers, &peers_section::mac_key_file>(
        "peers", "mac_key_file", value_kind::path, unset,
        "File with the key of the datagrams' authentication code, the same "
        "at every router. Unset: datagrams are not authenticated."),

    address_row<in_log, &log_section::address>(
        "log", "address", value_kind::address, required, 1,
        "The log service."),
    integer_row<in_log, &log_section::poll_wait>(
        "log", "poll_wait_ms", "1000", 10, minute_ms, "ms",
        "How long the log may hold a read that finds nothing new."),
    integer_row<in_log, &log_section::gather>(
        "log", "gather_ms", "250", 0, 1000, "ms",
        "How long records of others may come together before they are read "
        "when the log is busy (16 reads at once are free, one more each "
        "interval), no append of this router is under way and no request "
        "waits for a replica. 0: each is read at once."),
    integer_row<in_log, &log_section::max_batch_bytes>(
        "log", "max_batch_bytes", "262144", 4096, 16 * mebibyte, "bytes",
        "The largest append and the largest read."),
    integer_row<in_log, &log_section::append_timeout>(
        "log", "append_timeout_ms", "2000", 10, minute_ms, "ms",
        "Time after which an append's answer counts as lost."),
    integer_row<in_log, &log_section::retry_max>(
        "log", "retry_max_ms", "5000", 10, 10 * minute_ms, "ms",
        "The longest pause between two attempts while the log is away."),
    integer_row<in_log, &log_section::checkpoint_records>(
        "log", "checkpoint_records", "50000", 8, 10'000'000, "records",
        "Records between two offsets at which a checkpoint may be taken; one "
        "is taken when a quarter of what the log keeps came after the last, "
        "after ten times as many or two hours. The same at every router."),

    address_row<in_vm_list, &vm_list_section::address>(
        "vm_list", "address", value_kind::address, unset, 1,
        "The VM list's service. Unset: leaving VMs are noticed by other "
        "signs only."),
    integer_row<in_vm_list, &vm_list_section::poll>(
        "vm_list", "poll_ms", "1000", 50, minute_ms, "ms",
        "Time between two reads of the list."),

    integer_row<in_leases, &leases_section::term>(
        "leases", "term_ms", "30000", 500, hour_ms, "ms",
        "How long a lease lasts after its renewal was sent. The same at "
        "every router."),
    integer_row<in_leases, &leases_section::renew>(
        "leases", "renew_ms", "10000", 50, hour_ms, "ms",
        "Time between two renewals."),
    integer_row<in_leases, &leases_section::margin>(
        "leases", "margin_ms", "3000", 10, hour_ms, "ms",
        "Held back by the holder and waited in addition by a taker, for the "
        "difference of clock rates. The same at every router."),

    integer_row<in_traffic, &traffic_section::default_deadline>(
        "traffic", "default_deadline_ms", "30000", 1, hour_ms, "ms",
        "Deadline of a request that states none."),
    integer_row<in_traffic, &traffic_section::max_deadline>(
        "traffic", "max_deadline_ms", "3600000", 1, hour_ms, "ms",
        "The longest deadline a request may state."),
    integer_row<in_traffic, &traffic_section::max_header_bytes>(
        "traffic", "max_header_bytes", "16384", 1024, mebibyte, "bytes",
        "The largest head of a request."),
    integer_row<in_traffic, &traffic_section::max_body_bytes>(
        "traffic", "max_body_bytes", "8388608", 1024, 256 * mebibyte, "bytes",
        "The largest body of a request."),
    integer_row<in_traffic, &traffic_section::max_queued_per_model>(
        "traffic", "max_queued_per_model", "1000", 1, 1'000'000, "requests",
        "Requests that may wait for one model."),
    integer_row<in_traffic, &traffic_section::max_queued>(
        "traffic", "max_queued", "4000", 1, 1'000'000, "requests",
        "Requests that may wait in all."),
    integer_row<in_traffic, &traffic_section::max_connections>(
        "traffic", "max_connections", "4096", 1, 1'000'000, "connections",
        "Open connections of callers; more are not accepted."),
    integer_row<in_traffic, &traffic_section::connect_timeout>(
        "traffic", "connect_timeout_ms", "1000", 1, minute_ms, "ms",
        "Time to connect to a backend server."),
    integer_row<in_traffic, &traffic_section::first_byte_timeout>(
        "traffic", "first_byte_timeout_ms", "30000", 1, hour_ms, "ms",
        "Time from the request's last byte to the answer's first."),
    integer_row<in_traffic, &traffic_section::idle_byte_timeout>(
        "traffic", "idle_byte_timeout_ms", "10000", 1, hour_ms, "ms",
        "Time between two bytes of an answer."),
    integer_row<in_traffic, &traffic_section::connection_max_age>(
        "traffic", "connection_max_age_ms", "300000", 100, day_ms, "ms",
        "Age at which a connection to a backend server is used no more."),
    integer_row<in_traffic, &traffic_section::retry_budget_percent>(
        "traffic", "retry_budget_percent", "20", 0, 100, "percent",
        "Retries allowed, as a share of a model's requests."),
    integer_row<in_traffic, &traffic_section::stream_buffer_bytes>(
        "traffic", "stream_buffer_bytes", "65536", 1024, 16 * mebibyte,
        "bytes",
        "Held of a stream for a slow caller before reading stops."),
    integer_row<in_traffic, &traffic_section::caller_idle>(
        "traffic", "caller_idle_ms", "60000", 100, hour_ms, "ms",
        "Time a caller's connection may stay without a request."),
    integer_row<in_traffic, &traffic_section::backend_connections_max_idle>(
        "traffic", "backend_connections_max_idle", "64", 0, 65'536,
        "connections",
        "Unused connections kept to each backend server."),

    integer_row<in_engines, &engines_section::poll>(
        "engines", "poll_ms", "500", 10, minute_ms, "ms",
        "Time between two reads of an engine's state."),
    integer_row<in_engines, &engines_section::order_timeout>(
        "engines", "order_timeout_ms", "5000", 10, minute_ms, "ms",
        "Time after which an order's answer counts as lost."),
    text_row<in_engines, &engines_section::credentials_file>(
        "engines", "credentials_file", value_kind::path, unset,
        "File with the credential shown to engines that check who gives "
        "them an order. Read again every 5 s. Unset: none is shown."),

    word_row<in_placement, &placement_section::strategy>(
        "placement", "strategy", "break_even", strategy_words,
        "How long an idle replica is kept, unless the published policy names "
        "a strategy."),
    integer_row<in_placement, &placement_section::idle_ttl>(
        "placement", "idle_ttl_ms", "300000", 0, 7 * day_ms, "ms",
        "Idle time after which `fixed_ttl` unloads a replica; the others take "
        "it as the break-even time of a model that loads in 10 s."),
    integer_row<in_placement, &placement_section::demand_interval>(
        "placement", "demand_interval_ms", "50", 1, minute_ms, "ms",
        "Time between two reports of demand to the proposing router."),

    integer_row<in_grants, &grants_section::memory_mib>(
        "grants", "memory_mib", "0", 0, 1 << 24, "MiB",
        "Memory that a standing grant reserves on its engine; 0: this router "
        "opens none. Only when every router of the deployment knows grants."),
    integer_row<in_grants, &grants_section::engines>(
        "grants", "engines", "1", 1, 1000, "",
        "Standing grants of the whole deployment, at most one an engine."),
    integer_row<in_grants, &grants_section::slots>(
        "grants", "slots", "1", 1, 1000, "",
        "Weight-store slots that each grant keeps, used or not. One slot at "
        "least is left to decided loads: grants beyond that are refused."),
    integer_row<in_grants, &grants_section::models>(
        "grants", "models", "128", 1, 10'000, "",
        "Cold models that each grant names, those wanted last first."),
    integer_row<in_grants, &grants_section::term>(
        "grants", "term_ms", "1800000", minute_ms, 2 * hour_ms, "ms",
        "How long a grant may be used after its holder last reached the log. "
        "Its engine's lease isn't taken over for as long when the holder dies "
        "without proof."),

    text_row<in_tls, &tls_section::certificate_file>(
        "tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate that callers see, and of its chain. Read "
        "again every 5 s and on SIGHUP, open connections stay. Unset: callers "
        "are served plain HTTP."),
    text_row<in_tls, &tls_section::key_file>(
        "tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_backend_tls, &outgoing_tls_section::ca_file>(
        "backend_tls", "ca_file", value_kind::path, unset,
        "PEM file of the certificates that may sign those of engines and services, "
        "which have to name the IP number as subject alternative name. Read "
        "again every 5 s and on SIGHUP. Unset: plain HTTP."),
    text_row<in_backend_tls, &outgoing_tls_section::certificate_file>(
        "backend_tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate that this router shows them, and of its "
        "chain. Unset: none is shown."),
    text_row<in_backend_tls, &outgoing_tls_section::key_file>(
        "backend_tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_platform_tls, &outgoing_tls_section::ca_file>(
        "platform_tls", "ca_file", value_kind::path, unset,
        "PEM file of the certificates that may sign those of the log and the VM list, "
        "which have to name the IP number as subject alternative name. Read "
        "again every 5 s and on SIGHUP. Unset: plain HTTP."),
    text_row<in_platform_tls, &outgoing_tls_section::certificate_file>(
        "platform_tls", "certificate_file", value_kind::path, unset,
        "PEM file of the certificate that this router shows them, and of its "
        "chain. Unset: none is shown."),
    text_row<in_platform_tls, &outgoing_tls_section::key_file>(
        "platform_tls", "key_file", value_kind::path, unset,
        "PEM file of the certificate's private key, not encrypted."),

    text_row<in_operators, &operators_section::key_file>(
        "operators", "key_file", value_kind::path, unset,
        "File of the public keys that are expected to sign operators' records: "
        "`[keys]` with lines `number = 64 hex digits`. The log decides which "
        "keys count; this router raises RW1114 where the file disagrees. Read "
        "again every 5 s. Unset: nothing is compared."),

    word_row<in_logging, &logging_section::level>(
        "logging", "level", "info", level_words,
        "The lowest level that is written."),
    word_row<in_logging, &logging_section::format>(
        "logging", "format", "text", format_words,
        "Plain lines, or one JSON object a line."),
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
     "certificate_file and key_file are both set, or neither",
     &tls_files_go_together},
    {"backend_tls",
     {"certificate_file", "key_file"},
     "certificate_file and key_file are both set, or neither",
     &outgoing_files_go_together<in_backend_tls>},
    {"backend_tls",
     {"certificate_file", "ca_file"},
     "a certificate_file needs a ca_file",
     &outgoing_identity_has_trust<in_backend_tls>},
    {"platform_tls",
     {"certificate_file", "key_file"},
     "certificate_file and key_file are both set, or neither",
     &outgoing_files_go_together<in_platform_tls>},
    {"platform_tls",
     {"certificate_file", "ca_file"},
     "a certificate_file needs a ca_file",
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
