#include "app/gateway/gateway_app.hpp"

#include "adapters/settings/load_gateway_settings.hpp"
#include "adapters/settings/settings_problems.hpp"
#include "platform/header_names.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

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

/// The load balancer asks every second and takes two misses: until then new
/// connections still come.
constexpr milliseconds balancer_notices{2600};

/// Left of the grace time when what still runs is ended: for last answers and
/// the process's own end.
constexpr milliseconds end_margin{800};

constexpr milliseconds drain_look{100};

/// Kept connections to a server that doesn't say how long it keeps them.
constexpr milliseconds backend_idle{2500};

/// A kept connection for a request that can't be sent twice: a server that
/// closes it just then would leave it unknown whether the request ran.
constexpr milliseconds fresh_enough{400};

/// Connections open within some milliseconds; a lost packet is sent again after
/// a second only.
constexpr milliseconds connect_limit{300};

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::uint64_t random_seed()
{
    constexpr int half = 32;
    std::random_device device;
    return std::uint64_t(device()) << half | device();
}

asio::ip::tcp::endpoint tcp_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip), address.port};
}

edge::edge_options make_edge_options()
{
    edge::edge_options made;
    made.connect_timeout = connect_limit;
    made.connection_max_idle = backend_idle;
    made.proof_of_life = fresh_enough;
    made.max_idle_connections = 8;
    made.connection_max_age = milliseconds(300'000);
    return made;
}

forward::forward_options
make_forward_options(const settings::gateway_settings& settings)
{
    forward::forward_options made;
    made.retries.ratio = settings.bounds.retry_ratio;
    made.retries.extra = settings.bounds.retry_extra;
    made.retries.window = settings.bounds.retry_window;
    made.seed = random_seed();
    return made;
}

dispatcher::options
make_dispatcher_options(const settings::gateway_settings& settings)
{
    dispatcher::options made;
    made.data_centre = settings.vm.data_centre;
    made.affinity = prefix_affinity::none;
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

leaf::result<std::unique_ptr<gateway_app>>
gateway_app::make(const settings::gateway_settings& wanted, std::string path)
{
    std::unique_ptr<gateway_app> app(new gateway_app(wanted, std::move(path)));
    BOOST_LEAF_CHECK(app->listen());
    return app;
}

gateway_app::gateway_app(
    const settings::gateway_settings& wanted, std::string path)
    : settings(wanted)
    , config_path(std::move(path))
    , events(make_event_options(wanted), this->clock)
    , counts(this->registry)
    , traffic(1)
    , dispatch(edge::shared_dispatcher::make(
          dispatcher(make_dispatcher_options(wanted)),
          this->traffic.get_executor(),
          this->clock,
          {[this](const demand& what)
           {
               this->control->demand_arose(what);
           },
           [](const crash_seen&) {},
           [this](const permit_wanted& what)
           {
               this->control->permit_needed(what);
           }}))
    , control(std::make_unique<gateway_control>(
          wanted,
          this->clock,
          this->events,
          this->tables,
          this->dispatch,
          this->make_notices()))
    , context(this->make_context())
    , server(this->traffic.get_executor(), this->context, make_edge_options())
    , readiness_probe(
          this->traffic.get_executor(),
          [this](std::string_view)
          {
              return this->readiness();
          })
    , metrics_probe(
          this->traffic.get_executor(),
          [this](std::string_view path_asked)
          {
              return this->metrics_page(path_asked);
          })
    , signals(this->traffic, SIGINT, SIGTERM, SIGHUP)
    , drain_timer(this->traffic)
    , lines_timer(this->traffic)
{
}

gateway_app::~gateway_app()
{
    this->control->stop();
    this->dispatch->stop();
}

gateway_control::notices gateway_app::make_notices()
{
    return {
        [this](std::shared_ptr<const deployment> configuration)
        {
            asio::post(
                this->traffic,
                [this, configuration = std::move(configuration)]
                {
                    this->server.bound_callers(configuration->callers);
                });
        },
        [this](const std::string& reason)
        {
            this->events.report(
                event_id::internal_error,
                {{"where", "control_thread"}, {"reason", reason}});
            std::_Exit(EXIT_FAILURE);
        }};
}

forward::forward_context gateway_app::make_context()
{
    const edge::backend_context surroundings(
        make_edge_options(), this->clock, this->events, this->counts, nullptr);
    forward::forward_dependencies ports{
        *this->dispatch,
        this->control->limits(),
        [this]
        {
            return this->tables.get();
        },
        [this]
        {
            return this->control->routers();
        },
        [this](const load_report& report)
        {
            this->dispatch->load_reported(report);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->run_started(servable, engine);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->run_ended(servable, engine);
        },
        [this](const std::string& servable, const std::string& engine)
        {
            this->control->engine_refused(servable, engine);
        },
        [this](const std::string& server)
        {
            this->control->server_unreached(server);
        },
        [this](const std::string& server, fingerprint request)
        {
            this->control->connection_broke(server, request);
        },
        [this](
            const std::string& server,
            std::optional<double> named,
            instant sent)
        {
            this->control->server_answered(server, named, sent);
        },
        [this]
        {
            return this->control->is_behind();
        }};
    return {
        surroundings,
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
    this->count_lines();
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

void gateway_app::count_lines()
{
    constexpr std::chrono::seconds interval{1};
    const auto missing = this->events.take_dropped_lines();
    if (missing.over_limit + missing.not_taken != 0)
        this->events.report(
            event_id::lines_left_out,
            {{"over_limit", missing.over_limit},
             {"not_taken", missing.not_taken}});
    this->lines_timer.expires_after(interval);
    this->lines_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->count_lines();
        });
}

void gateway_app::reload()
{
    // All that the settings say is bound to sockets and terms of the running
    // process; the file is checked, so that a fault shows before a restart.
    const bool right = leaf::try_handle_all(
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
    if (right)
        this->events.report(event_id::settings_reloaded, {{"changed", "none"}});
}

void gateway_app::start_drain()
{
    if (std::exchange(this->draining, true))
        return;
    this->drain_began = this->clock.now();
    this->events.report(
        event_id::drain_started,
        {{"in_flight", this->dispatch->in_flight()},
         {"queued", this->dispatch->queued()}});
    this->server.start_drain();
    this->control->resign();
    this->look_whether_drained();
}

void gateway_app::look_whether_drained()
{
    const duration passed = this->clock.now() - this->drain_began;
    if (passed >= balancer_notices && !std::exchange(this->idle_closed, true))
        this->server.close_idle();
    const bool done = this->idle_closed && this->server.connections() == 0;
    if (done || passed >= this->settings.bounds.grace - end_margin)
    {
        this->finish();
        return;
    }
    this->drain_timer.expires_after(drain_look);
    this->drain_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                this->look_whether_drained();
        });
}

void gateway_app::finish()
{
    /// For the last answers to leave.
    constexpr milliseconds last_words{200};
    const std::size_t unfinished = this->server.connections();
    this->server.force_end();
    this->events.report(
        event_id::drain_finished,
        {{"elapsed_ms",
          std::chrono::duration_cast<milliseconds>(
              this->clock.now() - this->drain_began)
              .count()},
         {"unfinished", unfinished}});
    this->drain_timer.expires_after(
        unfinished == 0 ? milliseconds(0) : last_words);
    this->drain_timer.async_wait(
        [this](const boost::system::error_code&)
        {
            this->traffic.stop();
        });
}

forward::probe_answer gateway_app::readiness() const
{
    const bool ready = this->control->ready() && !this->draining;
    return {ready ? status_ok : status_unavailable, {}};
}

forward::probe_answer gateway_app::metrics_page(std::string_view path) const
{
    if (path != "/metrics")
        return {status_not_found, {}};
    std::ostringstream text;
    this->registry.write(text);
    return {status_ok, text.str()};
}

} // namespace roseworks::app
