#include "app/gateway/gateway_app.hpp"

#include "adapters/edge/request_memory.hpp"
#include "adapters/settings/load_gateway_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "app/gateway/gateway_options.hpp"
#include "platform/header_names.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

using std::chrono::milliseconds;

/// Time until the load balancer stops sending new connections: it probes every
/// second and needs two failures.
constexpr milliseconds balancer_reaction_time{2600};

/// Requests still running this long before the end of the grace period are
/// aborted, to leave time for the last responses and the process exit.
constexpr milliseconds shutdown_margin{800};

/// From this long before that on, no request is sent to a server any more: few
/// take longer, and callers are served by another router meanwhile. At most a
/// third of the grace period.
constexpr milliseconds last_answer_time{2600};

constexpr milliseconds drain_check_interval{100};

/// Maximum idle time of a pooled connection to a server that doesn't announce
/// its keep-alive time-out.
constexpr milliseconds backend_max_idle{2500};

/// Maximum idle time of a pooled connection for a request that can't be sent
/// twice: if the server closed the connection at that moment, it would be
/// unknown whether the request ran.
constexpr milliseconds single_send_max_idle{400};

/// Connections open within some milliseconds, unless a packet is lost, which is
/// retransmitted only after a second.
constexpr milliseconds backend_connect_timeout{300};

/// Time without an acknowledgement after which a connection to a backend server
/// or a router is dead. A server may be silent for a second and go on.
constexpr milliseconds backend_user_timeout{2500};

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::uint64_t random_seed()
{
    constexpr int half_bits = 32;
    std::random_device device;
    return std::uint64_t(device()) << half_bits | device();
}

asio::ip::tcp::endpoint tcp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

edge::edge_options make_edge_options()
{
    edge::edge_options made;
    made.connect_timeout = backend_connect_timeout;
    made.connection_max_idle = backend_max_idle;
    made.non_repeatable_max_idle = single_send_max_idle;
    made.tcp_user_timeout = backend_user_timeout;
    made.max_idle_connections = 8;
    made.connection_max_age = milliseconds(300'000);
    return made;
}

edge::edge_options
make_caller_options(const settings::gateway_settings& settings)
{
    edge::edge_options made = make_edge_options();
    const std::size_t memory = edge::vm_memory(settings.vm.memory_mb);
    made.max_request_memory = edge::request_memory(memory);
    made.receive_buffer =
        edge::receive_buffer(memory, load_guard::options().max_connections);
    return made;
}

relay::relayed_opener::options
make_opener_options(const settings::gateway_settings& settings)
{
    relay::relayed_opener::options made;
    made.tcp_user_timeout = make_edge_options().tcp_user_timeout;
    made.reach.seed = random_seed();
    made.routers.seed = random_seed();
    made.routers.data_centre = settings.vm.data_centre;
    return made;
}

forward::forward_options
make_forward_options(const settings::gateway_settings& settings)
{
    forward::forward_options made;
    made.order_by_route_rank = settings.room.count_saturated;
    made.hedge_share = settings.hedging.extra_share;
    made.seed = random_seed();
    if (settings.quota.order_by_urgency)
        made.urgency_window = limit_window(settings);
    return made;
}

/// @return Empty if an organisation's requests have no order.
std::optional<quota_metrics> make_quota_metrics(
    const settings::gateway_settings& settings,
    metrics::metrics_registry& registry)
{
    if (!settings.quota.order_by_urgency)
        return std::nullopt;
    return quota_metrics(registry);
}

dispatcher::options
make_dispatcher_options(const settings::gateway_settings& settings)
{
    dispatcher::options made;
    made.data_centre = settings.vm.data_centre;
    made.affinity = prefix_affinity::none;
    made.objectives_first = settings.room.count_saturated;
    made.seed = random_seed();
    return made;
}

events::pipe_event_sink::options
make_event_options(const settings::gateway_settings& settings)
{
    events::pipe_event_sink::options made;
    made.vm = settings.vm.name;
    made.lines_per_second = settings.log.lines_per_second;
    made.served_per_second = settings.log.served_per_second;
    return made;
}

} // namespace

leaf::result<std::unique_ptr<gateway_app>> gateway_app::make(
    const settings::gateway_settings& initial_settings, std::string path)
{
    std::unique_ptr<gateway_app> app(
        new gateway_app(initial_settings, std::move(path)));
    BOOST_LEAF_CHECK(app->listen());
    return app;
}

gateway_app::gateway_app(
    const settings::gateway_settings& initial_settings, std::string path)
    : settings(initial_settings)
    , config_path(std::move(path))
    , events(make_event_options(initial_settings), this->clock)
    , counts(this->registry)
    , paces(this->registry)
    , quota_counts(make_quota_metrics(initial_settings, this->registry))
    , traffic(1)
    , dispatch(edge::shared_dispatcher::make(
          dispatcher(make_dispatcher_options(initial_settings)),
          this->traffic.get_executor(),
          this->clock,
          {[this](const demand& waiting)
           {
               this->control->demand_waiting(waiting);
           },
           [](const crash_seen&) {},
           [this](const permit_wanted& wanted)
           {
               this->control->permit_needed(wanted);
           },
           [this](const place_released& released)
           {
               this->control->place_released(released);
           },
           [this](const permit_cancelled& cancelled)
           {
               this->control->permit_cancelled(cancelled);
           }}))
    , control(std::make_unique<gateway_control>(
          initial_settings,
          this->clock,
          this->events,
          this->tables,
          this->dispatch,
          this->make_callbacks()))
    , direct(make_edge_options().tcp_user_timeout)
    , opener(
          make_opener_options(initial_settings),
          this->direct,
          this->clock,
          this->events,
          [this]
          {
              this->control->servers_cut_off(this->opener.is_cut_off());
          })
    , context(this->make_context())
    , server(
          this->traffic.get_executor(),
          this->context,
          make_caller_options(initial_settings))
    , relayed(this->context)
    , relays(
          this->traffic.get_executor(),
          relay::relay_server::options(),
          this->context,
          this->opener,
          [this]
          {
              return this->tables.get();
          },
          this->relayed)
    , readiness_probe(
          this->traffic.get_executor(),
          this->clock,
          [this](std::string_view)
          {
              return this->readiness();
          })
    , metrics_probe(
          this->traffic.get_executor(),
          this->clock,
          [this](std::string_view requested_path)
          {
              return this->metrics_page(requested_path);
          })
    , signals(this->traffic, SIGINT, SIGTERM, SIGHUP)
    , drain_timer(this->traffic)
    , second_timer(this->traffic)
{
}

gateway_app::~gateway_app()
{
    this->control->stop();
    this->dispatch->stop();
}

gateway_control::callbacks gateway_app::make_callbacks()
{
    return {
        [this](std::shared_ptr<const deployment> configuration)
        {
            asio::post(
                this->traffic,
                [this, configuration = std::move(configuration)]
                {
                    this->server.set_caller_limits(configuration->callers);
                });
        },
        [this](const std::string& reason)
        {
            this->events.report(
                event_id::internal_error,
                {{"where", "control_thread"}, {"reason", reason}});
            std::_Exit(EXIT_FAILURE);
        },
        [this]
        {
            asio::post(
                this->traffic,
                [this]
                {
                    this->server.refuse_blocked();
                });
        },
        [this](relay_routers others)
        {
            asio::post(
                this->traffic,
                [this, others = std::move(others)]() mutable
                {
                    this->opener.set_routers(std::move(others.routers));
                    this->relays.set_routers(std::move(others.addresses));
                });
        },
        [this](std::uint8_t urgency, double used, double refused)
        {
            if (this->quota_counts)
                this->quota_counts->add(urgency, used, refused);
        }};
}

forward::forward_context gateway_app::make_context()
{
    const edge::backend_context backend(
        make_edge_options(), this->clock, this->events, this->counts, nullptr);
    forward::forward_dependencies ports{
        *this->dispatch,
        this->control->organisation_limits(),
        this->control->crashing_requests(),
        this->control->stream_origins(),
        this->opener,
        [this]
        {
            return this->tables.get();
        },
        [this](const load_report& report)
        {
            this->dispatch->load_reported(report);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->request_started(servable, engine);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->request_ended(servable, engine);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->engine_refused(servable, engine);
        },
        [this](const std::string& server)
        {
            this->control->server_unreachable(server);
        },
        [this](
            const server_identity& server,
            const server_notice& notice,
            instant sent)
        {
            this->control->server_answered(server, notice, sent);
        },
        [this]
        {
            return this->control->is_deployment_stale();
        },
        [this](
            const std::string& servable,
            server_life run,
            const stream_timer& times)
        {
            this->control->stream_measured(servable, run, times);
        }};
    return {
        backend,
        make_forward_options(this->settings),
        users_platform::make_header_names(),
        std::move(ports),
        this->counts};
}

leaf::result<void> gateway_app::listen()
{
    const auto check =
        [](const settings::socket_address& address,
           const boost::system::error_code& error) -> leaf::result<void>
    {
        if (!error)
            return {};
        return leaf::new_error(
            gateway_start_error{address.to_string(), error.message()});
    };
    const auto& listen = this->settings.listen;
    BOOST_LEAF_CHECK(check(
        listen.requests, this->server.listen(tcp_endpoint(listen.requests))));
    const settings::socket_address relay = listen.relay();
    if (relay.port != 0)
        BOOST_LEAF_CHECK(
            check(relay, this->relays.listen(tcp_endpoint(relay))));
    BOOST_LEAF_CHECK(check(
        listen.readiness,
        this->readiness_probe.listen(tcp_endpoint(listen.readiness))));
    BOOST_LEAF_CHECK(check(
        listen.metrics,
        this->metrics_probe.listen(tcp_endpoint(listen.metrics))));
    return {};
}

int gateway_app::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    this->events.report(
        event_id::router_started,
        {{"data_centre", this->settings.vm.data_centre},
         {"version", ROSEWORKS_VERSION},
         {"incarnation", this->clock.wall()}});
    this->wait_for_signals();
    this->run_every_second();
    this->control->start();
    this->traffic.run();
    this->control->stop();
    this->events.report(event_id::router_stopped, {{"status", 0}});
    return EXIT_SUCCESS;
}

void gateway_app::wait_for_signals()
{
    this->signals.async_wait(
        [this](const boost::system::error_code& error, int signal)
        {
            if (error)
                return;
            if (signal == SIGHUP)
                this->reload();
            else
                this->start_drain();
            this->wait_for_signals();
        });
}

void gateway_app::run_every_second()
{
    constexpr std::chrono::seconds interval{1};
    const auto dropped = this->events.take_dropped_lines();
    if (dropped.over_limit + dropped.not_taken != 0)
        this->events.report(
            event_id::lines_left_out,
            {{"over_limit", dropped.over_limit},
             {"not_taken", dropped.not_taken}});
    this->opener.tick();
    edge::report_limits(
        "readiness",
        this->readiness_probe.limits(),
        this->counts,
        this->events);
    edge::report_limits(
        "metrics", this->metrics_probe.limits(), this->counts, this->events);
    for (const pace_class each :
         {pace_class::fast, pace_class::usual, pace_class::slow})
        this->paces.engines.set(
            static_cast<std::int64_t>(this->control->paced_engines(each)),
            each);
    this->second_timer.expires_after(interval);
    this->second_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->run_every_second();
        });
}

void gateway_app::reload()
{
    // No setting can change in the running process, since all of them are bound
    // to its sockets and terms. The file is only checked, so that errors in it
    // are found before the next restart.
    const bool is_valid = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(
                settings::load_gateway_settings(this->config_path));
            return true;
        },
        [&](const settings::settings_problems& problems)
        {
            std::ostringstream text;
            text << problems;
            this->events.report(
                event_id::settings_refused, {{"reason", text.str()}});
            return false;
        },
        []
        {
            return false;
        });
    if (is_valid)
        this->events.report(event_id::settings_reloaded, {{"changed", "none"}});
}

void gateway_app::start_drain()
{
    if (std::exchange(this->draining, true))
        return;
    this->drain_start = this->clock.now();
    this->events.report(
        event_id::drain_started,
        {{"in_flight", this->dispatch->in_flight()},
         {"queued", this->dispatch->queued()}});
    this->server.start_drain();
    this->relays.start_drain();
    this->control->resign();
    this->check_drained();
}

void gateway_app::check_drained()
{
    const duration elapsed = this->clock.now() - this->drain_start;
    if (elapsed >= balancer_reaction_time &&
        !std::exchange(this->idle_closed, true))
        this->server.close_idle();
    const milliseconds grace = this->settings.bounds.grace;
    const duration last_send =
        grace - shutdown_margin - std::min(last_answer_time, grace / 3);
    if (elapsed >= last_send && !std::exchange(this->sending_stopped, true))
        this->server.stop_sending();
    const bool done = this->idle_closed && this->server.connections() == 0 &&
                      this->relays.connections() == 0;
    if (done || elapsed >= this->settings.bounds.grace - shutdown_margin)
    {
        this->finish();
        return;
    }
    this->drain_timer.expires_after(drain_check_interval);
    this->drain_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->check_drained();
        });
}

void gateway_app::finish()
{
    // Time to send the last responses.
    constexpr milliseconds final_response_time{200};
    const std::size_t unfinished =
        this->server.connections() + this->relays.connections();
    this->server.force_end();
    this->relays.stop();
    this->events.report(
        event_id::drain_finished,
        {{"elapsed_ms",
          std::chrono::duration_cast<milliseconds>(
              this->clock.now() - this->drain_start)
              .count()},
         {"unfinished", unfinished}});
    this->drain_timer.expires_after(
        unfinished == 0 ? milliseconds(0) : final_response_time);
    this->drain_timer.async_wait(
        [this](const boost::system::error_code&)
        {
            this->traffic.stop();
        });
}

forward::probe_response gateway_app::readiness() const
{
    const bool ready = this->control->ready() && !this->draining;
    return {ready ? status_ok : status_unavailable, {}};
}

forward::probe_response gateway_app::metrics_page(std::string_view path) const
{
    if (path != "/metrics")
        return {status_not_found, {}};
    std::ostringstream text;
    this->registry.write(text);
    return {status_ok, text.str()};
}

} // namespace roseworks::app
