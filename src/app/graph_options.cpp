#include "app/graph_options.hpp"

#include "adapters/edge/request_memory.hpp"
#include "adapters/settings/operator_key_file.hpp"
#include "adapters/settings/settings_problems.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

using settings::router_settings;
using settings::socket_address;

namespace
{

/// Slack beyond a full poll before the log counts as silent.
constexpr std::chrono::seconds silence_slack{4};
constexpr std::chrono::seconds least_silence{5};

constexpr std::chrono::seconds shortest_leave{1};
constexpr std::chrono::seconds longest_leave{30};

asio::ip::tcp::endpoint tcp_endpoint(const socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

asio::ip::udp::endpoint udp_endpoint(const socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

controller::options
controller_options(const router_settings& from, const run_seeds& seeds)
{
    controller::options result;
    result.name = from.router.name;
    result.data_centre = from.router.data_centre;
    result.incarnation = seeds.incarnation;
    result.seed = seeds.seed;
    result.lease_term = from.leases.term;
    result.lease_renew = from.leases.renew;
    result.lease_margin = from.leases.margin;
    result.append_retry_max = from.log.retry_max;
    result.checkpoint_records = from.log.checkpoint_records;
    result.engine_poll = from.engines.poll;
    result.idle_ttl = from.placement.idle_ttl;
    result.max_batch_bytes = from.log.max_batch_bytes;
    result.log_timeout =
        std::max<duration>(least_silence, from.log.poll_wait + silence_slack);
    result.grants.memory_mib = from.grants.memory_mib;
    result.grants.engines = from.grants.engines;
    result.grants.loads = static_cast<std::uint16_t>(from.grants.slots);
    result.grants.models = from.grants.models;
    result.grants.term = from.grants.term;
    result.leave_limit = std::clamp<duration>(
        from.router.drain_limit, shortest_leave, longest_leave);
    return result;
}

leaf::result<platform::credentials> load_credentials(const std::string& path)
{
    if (path.empty())
        return platform::credentials();
    return platform::credentials::load(path);
}

leaf::result<mac_keys> load_keys(const std::string& path)
{
    if (path.empty())
        return mac_keys::unauthenticated();
    return mac_keys::load(path);
}

using context_ptr = std::unique_ptr<tls::context_source>;

leaf::result<context_ptr> load_context(
    std::string_view section, tls::side end, tls::certificate_files files)
{
    return leaf::try_handle_some(
        [&]() -> leaf::result<context_ptr>
        {
            return tls::context_source::load(end, std::move(files));
        },
        [&](const tls::certificate_error& error) -> leaf::result<context_ptr>
        {
            settings::settings_problem problem;
            problem.file = error.file;
            problem.section = section;
            problem.key = setting_of(error.file_role);
            problem.reason = error.what;
            return leaf::new_error(settings::settings_problems{{problem}});
        });
}

leaf::result<context_ptr> load_outgoing(
    std::string_view section, const settings::outgoing_tls_section& from)
{
    if (from.ca_file.empty())
        return context_ptr();
    return load_context(
        section,
        tls::side::client,
        {from.certificate_file, from.key_file, from.ca_file});
}

} // namespace

leaf::result<control_options>
make_control_options(const router_settings& from, const run_seeds& seeds)
{
    control_options result;
    result.control = controller_options(from, seeds);
    result.control.placement = from.placement.strategy;

    result.log_server = tcp_endpoint(from.log.address);
    result.log.poll_wait = from.log.poll_wait;
    result.log.read_interval = from.log.gather;
    result.log.append_timeout = from.log.append_timeout;
    result.log.connect_timeout = from.traffic.connect_timeout;
    result.log.retry_max = from.log.retry_max;
    result.log.max_read_bytes = from.log.max_batch_bytes;
    result.log.seed = seeds.seed;

    result.engines.order_timeout = from.engines.order_timeout;
    result.engines.connect_timeout = from.traffic.connect_timeout;
    BOOST_LEAF_ASSIGN(
        result.shown, load_credentials(from.engines.credentials_file));
    result.credentials_file = from.engines.credentials_file;

    if (from.vm_list.address)
        result.vm_list_server = tcp_endpoint(*from.vm_list.address);
    result.vm_list.poll = from.vm_list.poll;

    result.peers.listen = udp_endpoint(from.peers.listen);
    result.peers.mac_key_file = from.peers.mac_key_file;
    result.peers.first_counter = seeds.incarnation;
    result.peers.probing.probe_interval = from.peers.probe_interval;
    result.peers.probing.suspect_after = from.peers.suspect_after;
    result.peers.probing.fanout = from.peers.probe_fanout;
    result.peers.probing.seed = seeds.seed;
    BOOST_LEAF_ASSIGN(result.keys, load_keys(from.peers.mac_key_file));
    if (!from.operators.key_file.empty())
    {
        BOOST_LEAF_ASSIGN(
            result.operator_keys,
            settings::load_operator_keys(from.operators.key_file));
    }
    return result;
}

leaf::result<tls_contexts> make_tls_contexts(const router_settings& from)
{
    tls_contexts made;
    if (!from.tls.certificate_file.empty())
    {
        BOOST_LEAF_ASSIGN(
            made.callers,
            load_context(
                "tls",
                tls::side::server,
                {from.tls.certificate_file, from.tls.key_file, ""}));
    }
    BOOST_LEAF_ASSIGN(
        made.backends, load_outgoing("backend_tls", from.backend_tls));
    BOOST_LEAF_ASSIGN(
        made.platform, load_outgoing("platform_tls", from.platform_tls));
    return made;
}

dispatcher::options
make_dispatcher_options(const router_settings& from, const run_seeds& seeds)
{
    dispatcher::options result;
    result.max_queued_per_target = from.traffic.max_queued_per_model;
    result.max_queued = from.traffic.max_queued;
    result.retry_budget_percent = from.traffic.retry_budget_percent;
    result.demand_interval = from.placement.demand_interval;
    result.data_centre = from.router.data_centre;
    result.seed = seeds.seed;
    return result;
}

edge::edge_options
make_edge_options(const router_settings& from, const run_seeds& seeds)
{
    const settings::traffic_section& traffic = from.traffic;
    edge::edge_options result;
    result.max_header_bytes = traffic.max_header_bytes;
    result.max_body_bytes = traffic.max_body_bytes;
    result.max_connections = traffic.max_connections;
    const std::size_t memory = edge::vm_memory(from.router.memory_mb);
    result.max_request_memory = edge::request_memory(memory);
    result.receive_buffer =
        edge::receive_buffer(memory, traffic.max_connections);
    result.default_deadline = traffic.default_deadline;
    result.max_deadline = traffic.max_deadline;
    result.caller_idle = traffic.caller_idle;
    result.connect_timeout = traffic.connect_timeout;
    result.first_byte_timeout = traffic.first_byte_timeout;
    result.idle_byte_timeout = traffic.idle_byte_timeout;
    result.connection_max_age = traffic.connection_max_age;
    result.max_idle_connections =
        traffic.backend_connections_max_idle / from.router.traffic_threads;
    result.stream_buffer_bytes = traffic.stream_buffer_bytes;
    result.request_id_seed = seeds.seed;
    return result;
}

events::event_sink_options make_event_options(const router_settings& from)
{
    events::event_sink_options result;
    result.vm = from.router.name;
    result.level = from.logging.level;
    result.format = from.logging.format;
    result.file = from.logging.file;
    return result;
}

} // namespace roseworks::app
