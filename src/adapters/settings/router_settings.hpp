#pragma once

#include "adapters/events/line_format.hpp"
#include "adapters/settings/socket_address.hpp"
#include "ports/event_sink.hpp"

#include <roseworks/specs.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace roseworks::settings
{

using std::chrono::milliseconds;

/// `[router]`: the identity of this process and its address for callers.
struct router_section
{
    std::string name;
    std::string data_centre;
    socket_address listen;
    std::uint32_t traffic_threads = 0;
    milliseconds drain_limit{};
    std::uint32_t memory_mb = 0; ///< of the VM; 0: as the kernel states it
    /// The file to which the bound addresses are written. Empty: none.
    std::string address_file;
};

/// `[peers]`: gossip between routers over UDP.
struct peers_section
{
    socket_address listen;
    std::vector<socket_address> seeds;
    milliseconds probe_interval{};
    std::uint32_t probe_fanout = 0;
    milliseconds suspect_after{};
    /// Empty: datagrams carry no authentication code.
    std::string mac_key_file;
};

/// `[log]`: the platform's append-only log.
struct log_section
{
    socket_address address;
    milliseconds poll_wait{};
    milliseconds gather{};
    std::uint32_t max_batch_bytes = 0;
    milliseconds append_timeout{};
    milliseconds retry_max{};
    std::uint64_t checkpoint_records = 0;
};

/// `[vm_list]`: the platform's list of VMs, which may lag behind.
struct vm_list_section
{
    std::optional<socket_address> address;
    milliseconds poll{};
};

/// `[leases]`: leases that permit sending orders to an engine.
struct leases_section
{
    milliseconds term{};
    milliseconds renew{};
    milliseconds margin{};
};

/// `[traffic]`: limits and timeouts of requests and connections.
struct traffic_section
{
    milliseconds default_deadline{};
    milliseconds max_deadline{};
    std::uint32_t max_header_bytes = 0;
    std::uint32_t max_body_bytes = 0;
    std::uint32_t max_queued_per_model = 0;
    std::uint32_t max_queued = 0;
    std::uint32_t max_connections = 0;
    milliseconds connect_timeout{};
    milliseconds first_byte_timeout{};
    milliseconds idle_byte_timeout{};
    milliseconds connection_max_age{};
    std::uint32_t retry_budget_percent = 0;
    std::uint32_t stream_buffer_bytes = 0;
    milliseconds caller_idle{};
    std::uint32_t backend_connections_max_idle = 0;
};

/// `[engines]`: reading the state of engines and sending them orders.
struct engines_section
{
    milliseconds poll{};
    milliseconds order_timeout{};
    /// Empty: orders carry no credential.
    std::string credentials_file;
};

/// `[placement]`: when replicas are loaded and unloaded.
struct placement_section
{
    placement_kind strategy = placement_kind::break_even;
    milliseconds idle_ttl{};
    milliseconds demand_interval{};
};

/// `[grants]`: the models that may be loaded while the log is unreachable.
struct grants_section
{
    std::uint32_t memory_mib = 0;
    std::uint32_t engines = 0;
    std::uint32_t slots = 0;
    std::uint32_t models = 0;
    milliseconds term{};
};

/// `[tls]`: the certificate presented to callers. Both empty: plain HTTP.
struct tls_section
{
    std::string certificate_file;
    std::string key_file;
};

/// `[backend_tls]` and `[platform_tls]`: TLS of outgoing connections.
struct outgoing_tls_section
{
    /// Empty: plain HTTP.
    std::string ca_file;
    /// Both empty: no certificate is presented.
    std::string certificate_file;
    std::string key_file;
};

/// `[operators]`: the keys that are expected to sign operators' changes.
struct operators_section
{
    /// Empty: the keys decided in the log are not compared with a file.
    std::string key_file;
};

/// `[logging]`: where events are written.
struct logging_section
{
    event_level level = event_level::info;
    events::line_format format = events::line_format::text;
    /// Empty: the standard error stream.
    std::string file;
};

/// The checked contents of the router's settings file. The defaults of the keys
/// are in settings_table.cpp, not here: a value-initialised struct is not a
/// usable configuration. Use `load_router_settings` to create one.
struct router_settings
{
    router_section router;
    peers_section peers;
    log_section log;
    vm_list_section vm_list;
    leases_section leases;
    traffic_section traffic;
    engines_section engines;
    placement_section placement;
    grants_section grants;
    tls_section tls;
    outgoing_tls_section backend_tls;
    outgoing_tls_section platform_tls;
    operators_section operators;
    logging_section logging;
};

} // namespace roseworks::settings
