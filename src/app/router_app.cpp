#include "app/router_app.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/system/system_error.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <utility>

namespace roseworks::app
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{

/// Every request was answered, but the session was not left.
constexpr int not_handed_over = 3;

/// Uses of servables reach the control thread at most this often.
constexpr std::chrono::milliseconds usage_interval{100};

std::uint64_t random_seed()
{
    constexpr int half = 32;
    std::random_device device;
    return std::uint64_t(device()) << half | device();
}

std::uint64_t wall_micros()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

std::int64_t whole_ms(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

std::vector<std::unique_ptr<asio::io_context>> make_loops(std::size_t count)
{
    std::vector<std::unique_ptr<asio::io_context>> loops;
    while (loops.size() < count)
        loops.push_back(std::make_unique<asio::io_context>(1));
    return loops;
}

template <class Endpoint>
std::string text_of(const Endpoint& endpoint)
{
    return (std::ostringstream() << endpoint).str();
}

} // namespace

leaf::result<std::unique_ptr<router_app>>
router_app::make(const settings::router_settings& settings)
{
    const run_seeds seeds{random_seed(), wall_micros()};
    BOOST_LEAF_AUTO(control, make_control_options(settings, seeds));
    BOOST_LEAF_AUTO(contexts, make_tls_contexts(settings));
    auto sink =
        events::log4cplus_event_sink::make(make_event_options(settings));
    if (!sink)
        return leaf::new_error(
            startup_error{settings.logging.file, "can't be opened"});

    std::unique_ptr<router_app> app;
    try
    {
        app.reset(new router_app(
            settings,
            seeds,
            std::move(control),
            std::move(contexts),
            std::move(sink)));
    }
    catch (const boost::system::system_error& error)
    {
        return leaf::new_error(startup_error{
            settings.peers.listen.to_string(), error.code().message()});
    }
    BOOST_LEAF_CHECK(app->listen());
    BOOST_LEAF_CHECK(app->write_addresses());
    return app;
}

router_app::router_app(
    const settings::router_settings& wanted,
    const run_seeds& seeds,
    control_options control_settings,
    tls_contexts contexts,
    std::unique_ptr<events::log4cplus_event_sink> sink)
    : settings(wanted)
    , started(this->clock.now())
    , events(std::move(sink))
    , signals(this->main_loop, SIGINT, SIGTERM)
    , hangups(this->main_loop, SIGHUP)
    , callers_tls(
          this->main_loop.get_executor(),
          "tls",
          std::move(contexts.callers),
          *this->events)
    , backend_tls(
          this->main_loop.get_executor(),
          "backend_tls",
          std::move(contexts.backends),
          *this->events)
    , platform_tls(
          this->main_loop.get_executor(),
          "platform_tls",
          std::move(contexts.platform),
          *this->events)
    , usage_timer(this->main_loop)
    , observer(this->registry)
    , key_watch(
          wanted.operators.key_file,
          std::move(control_settings.operator_keys),
          this->clock,
          *this->events)
    , control(
          this->with_tls(std::move(control_settings)),
          this->clock,
          *this->events,
          this->make_notices(),
          [this]
          {
              this->fail();
          })
    , dispatch(edge::shared_dispatcher::make(
          dispatcher(make_dispatcher_options(wanted, seeds)),
          this->main_loop.get_executor(),
          this->clock,
          {[this](const demand& what)
           {
               this->control.post(
                   [what](control_loop& loop)
                   {
                       loop.demanded(what);
                   });
           },
           [this](const crash_seen& what)
           {
               this->control.post(
                   [what](control_loop& loop)
                   {
                       loop.crashed(what);
                   });
           }}))
    , tap(this->dispatch,
          [this]
          {
              asio::post(
                  this->main_loop,
                  [this]
                  {
                      this->arm_usage();
                  });
          })
    , status(
          wanted.router.name,
          wanted.router.data_centre,
          this->clock,
          this->registry,
          this->make_lookups())
    , traffic_loops(make_loops(wanted.router.traffic_threads))
    , server(
          make_edge_options(wanted, seeds),
          this->make_dependencies(),
          this->traffic_executors())
{
    this->events->report(
        event_id::router_started,
        {{"data_centre", this->settings.router.data_centre},
         {"version", std::string_view(ROSEWORKS_VERSION)},
         {"incarnation", seeds.incarnation}});
}

router_app::~router_app()
{
    this->stop_threads();
}

control_notices router_app::make_notices()
{
    control_notices notices;
    notices.table_published = [this](const routing_table_ptr& newest)
    {
        this->table.put(newest);
        this->dispatch->table_changed(newest);
    };
    notices.load_reported = [this](const load_report& report)
    {
        this->dispatch->load_reported(report);
    };
    notices.cache_reported = [this](const cache_report& report)
    {
        this->dispatch->cache_reported(report);
    };
    notices.routers_alive = [this](std::size_t count)
    {
        this->dispatch->routers_alive(count);
    };
    notices.vm_leaving = [this](std::string_view vm, bool leaving)
    {
        this->dispatch->vm_leaving(vm, leaving);
    };
    notices.crash_examined =
        [this](const crash_seen& what, crash_finding finding)
    {
        this->dispatch->crash_examined(what, finding);
    };
    notices.look = [this](const control_loop& loop)
    {
        this->status.look(loop);
        if (loop.is_caught_up() && loop.driven() != nullptr)
            this->key_watch.look(loop.driven()->state());
    };
    notices.caught_up = [this]
    {
        this->events->report(
            event_id::router_ready,
            {{"elapsed_ms", whole_ms(this->clock.now() - this->started)},
             {"http", this->http_address},
             {"udp", this->control.peer_address()}});
        this->status.set_ready(true);
    };
    notices.left = [this](bool clean)
    {
        asio::post(
            this->main_loop,
            [this, clean]
            {
                this->left_session(clean);
            });
    };
    return notices;
}

router_status::lookups router_app::make_lookups()
{
    router_status::lookups lookups;
    lookups.queued = [this]
    {
        return this->dispatch->queued();
    };
    lookups.in_flight = [this]
    {
        return this->dispatch->in_flight();
    };
    lookups.ask_look = [this]
    {
        this->control.post(
            [this](control_loop& loop)
            {
                this->status.look(loop);
            });
    };
    lookups.figures = [this]
    {
        router_gauges::process_figures figures;
        figures.queued = this->dispatch->queued();
        figures.in_flight = this->dispatch->in_flight();
        figures.control_cpu_us =
            static_cast<std::uint64_t>(this->control.processor_time().count());
        figures.control_bytes_sent =
            this->control.bytes().sent + this->control.datagrams().bytes_sent;
        figures.control_bytes_received =
            this->control.bytes().received +
            this->control.datagrams().bytes_received;
        return figures;
    };
    return lookups;
}

edge::edge_dependencies router_app::make_dependencies()
{
    return {
        this->tap,
        this->control.claims(),
        this->status,
        this->observer,
        *this->events,
        this->clock,
        [this]
        {
            return this->table.get();
        },
        this->callers_tls.accepting(),
        this->backend_tls.connecting()};
}

std::vector<asio::any_io_executor> router_app::traffic_executors()
{
    std::vector<asio::any_io_executor> executors;
    for (const auto& loop : this->traffic_loops)
        executors.emplace_back(loop->get_executor());
    return executors;
}

leaf::result<void> router_app::listen()
{
    const settings::socket_address& wanted = this->settings.router.listen;
    return leaf::try_handle_some(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(
                bound,
                this->server.listen(
                    {asio::ip::make_address(wanted.ip), wanted.port}));
            this->http_address = text_of(bound);
            return {};
        },
        [&](const boost::system::error_code& error) -> leaf::result<void>
        {
            this->events->report(
                event_id::listen_failed,
                {{"address", wanted.to_string()},
                 {"protocol", std::string_view("tcp")},
                 {"reason", error.message()}});
            return leaf::new_error(
                startup_error{wanted.to_string(), error.message()});
        });
}

/// Others may wait for the file: it appears whole.
leaf::result<void> router_app::write_addresses() const
{
    const std::string& path = this->settings.router.address_file;
    if (path.empty())
        return {};

    const std::string unfinished = path + ".new";
    std::ofstream out(unfinished, std::ios::trunc);
    out << "http " << this->http_address << '\n'
        << "udp " << this->control.peer_address() << '\n';
    out.close();
    if (!out || std::rename(unfinished.c_str(), path.c_str()) != 0)
        return leaf::new_error(startup_error{path, "can't be written"});
    return {};
}

int router_app::run(std::ostream& out)
{
    this->wait_for_signal();
    this->wait_for_hangup();
    this->callers_tls.watch().start();
    this->backend_tls.watch().start();
    this->platform_tls.watch().start();
    this->start_threads();
    out << "listening http " << this->http_address << std::endl;

    // The signal set keeps the loop in work until `finish`.
    this->main_loop.run();
    this->stop_threads();
    this->events->report(
        event_id::router_stopped, {{"status", this->exit_status}});
    return this->exit_status;
}

void router_app::start_threads()
{
    this->control.start(this->http_address);
    for (const auto& loop : this->traffic_loops)
        this->threads.emplace_back(
            [this, &loop]
            {
                this->run_traffic(*loop);
            });
}

void router_app::run_traffic(asio::io_context& loop)
{
    const auto work = asio::make_work_guard(loop);
    try
    {
        loop.run();
    }
    catch (const std::exception& fault)
    {
        this->events->report(
            event_id::internal_error,
            {{"where", std::string_view("traffic thread")},
             {"reason", std::string_view(fault.what())}});
        this->fail();
    }
}

/// Traffic first, as it calls into the rest.
void router_app::stop_threads()
{
    this->server.stop();
    for (const auto& loop : this->traffic_loops)
        loop->stop();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
    this->dispatch->stop();
    this->control.stop();
}

void router_app::arm_usage()
{
    this->usage_timer.expires_after(usage_interval);
    this->usage_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                this->flush_usage();
        });
}

void router_app::flush_usage()
{
    this->control.post(
        [uses = this->tap.take()](control_loop& loop)
        {
            for (const noted_use& use : uses)
                loop.used(use.servable, use.caller);
        });
}

control_options router_app::with_tls(control_options wanted) const
{
    wanted.log.tls_connector = this->platform_tls.connecting();
    wanted.vm_list.tls_connector = this->platform_tls.connecting();
    wanted.engines.tls_connector = this->backend_tls.connecting();
    return wanted;
}

void router_app::reload_files()
{
    this->callers_tls.watch().reload();
    this->backend_tls.watch().reload();
    this->platform_tls.watch().reload();
    this->control.reload_files();
    this->control.post(
        [this](control_loop&)
        {
            this->key_watch.read_at_next_look();
        });
}

void router_app::wait_for_hangup()
{
    this->hangups.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (error)
                return;
            this->reload_files();
            this->wait_for_hangup();
        });
}

void router_app::wait_for_signal()
{
    this->signals.async_wait(
        [this](boost::system::error_code error, int signal)
        {
            if (!error)
                this->signalled(signal);
        });
}

void router_app::signalled(int signal)
{
    if (this->draining)
    {
        this->finish(EXIT_FAILURE);
        return;
    }
    this->wait_for_signal();
    this->draining = true;
    this->drain_started = this->clock.now();
    this->status.set_ready(false);
    this->events->report(
        event_id::drain_started,
        {{"in_flight", this->dispatch->in_flight()},
         {"queued", this->dispatch->queued()},
         {"signal", signal}});
    this->server.drain(
        this->settings.router.drain_limit,
        [this](std::size_t unfinished)
        {
            asio::post(
                this->main_loop,
                [this, unfinished]
                {
                    this->drained(unfinished);
                });
        });
}

void router_app::drained(std::size_t unfinished)
{
    if (unfinished > 0)
    {
        this->exit_status = EXIT_FAILURE;
        this->events->report(
            event_id::drain_limit_reached,
            {{"unfinished", unfinished},
             {"limit_ms", this->settings.router.drain_limit.count()}});
    }
    this->events->report(
        event_id::drain_finished,
        {{"elapsed_ms", whole_ms(this->clock.now() - this->drain_started)},
         {"unfinished", unfinished}});
    this->control.post(
        [](control_loop& loop)
        {
            loop.leave();
        });
}

void router_app::left_session(bool clean)
{
    const bool whole = this->exit_status == EXIT_SUCCESS;
    this->finish(clean || !whole ? this->exit_status : not_handed_over);
}

/// A thread ended by a fault: nothing it did can be relied on.
void router_app::fail()
{
    asio::post(
        this->main_loop,
        [this]
        {
            this->finish(EXIT_FAILURE);
        });
}

void router_app::finish(int with_status)
{
    if (this->finished)
        return;
    this->finished = true;
    this->exit_status = with_status;
    this->main_loop.stop();
}

} // namespace roseworks::app
