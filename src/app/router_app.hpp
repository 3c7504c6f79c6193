#pragma once

#include "adapters/edge/server.hpp"
#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/events/log4cplus_event_sink.hpp"
#include "adapters/metrics/metrics_registry.hpp"
#include "adapters/platform/system_clock.hpp"
#include "adapters/settings/router_settings.hpp"
#include "app/control_thread.hpp"
#include "app/graph_options.hpp"
#include "app/operator_key_watch.hpp"
#include "app/router_status.hpp"
#include "app/table_holder.hpp"
#include "app/tls_endpoint.hpp"
#include "app/traffic_metrics.hpp"
#include "app/usage_tap.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <cstddef>
#include <iosfwd>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::app
{

/// LEAF error object: an address or file of the settings can't be used.
struct startup_error
{
    std::string what;
    std::string reason;
};

/** One router: the whole graph of objects and its threads.

    The main thread waits for signals and keeps the dispatcher's timer; the
    control thread keeps the decided state; each traffic thread has an event
    loop of its own.
*/
class router_app
{
public:
    /** Compose a router; binds its sockets and starts nothing.

        @param settings Checked settings.
        @return         The router, or a `startup_error`, `settings_problems`,
                        `credentials_error` or `mac_key_error`.
    */
    static boost::leaf::result<std::unique_ptr<router_app>>
    make(const settings::router_settings& settings);

    ~router_app();
    router_app(const router_app&) = delete;
    router_app& operator=(const router_app&) = delete;

    /** Serve until a signal asks to stop.

        SIGTERM or SIGINT drains: running requests end, leases are given back,
        the session is left. A second signal ends at once. SIGHUP reads the
        files of certificates, keys and credentials again.

        @param out Told the bound address.
        @return    The exit status: 0 after a whole drain, 1 when requests
                   were cut or a thread failed, 3 when none was cut but the
                   log has not taken the leave within the limit.
    */
    int run(std::ostream& out);

private:
    router_app(
        const settings::router_settings& settings,
        const run_seeds& seeds,
        control_options control,
        tls_contexts contexts,
        std::unique_ptr<events::log4cplus_event_sink> sink);

    boost::leaf::result<void> listen();
    boost::leaf::result<void> write_addresses() const;
    control_notices make_notices();
    router_status::lookups make_lookups();
    edge::edge_dependencies make_dependencies();
    std::vector<boost::asio::any_io_executor> traffic_executors();
    void start_threads();
    void run_traffic(boost::asio::io_context& loop);
    void stop_threads();
    void arm_usage();
    void flush_usage();

    control_options with_tls(control_options wanted) const;
    void reload_files();
    void wait_for_hangup();
    void wait_for_signal();
    void signalled(int signal);
    void drained(std::size_t unfinished);
    void left_session(bool clean);
    void fail();
    void finish(int status);

    const settings::router_settings settings;
    platform::system_clock clock;
    const instant started;
    std::unique_ptr<events::log4cplus_event_sink> events;
    boost::asio::io_context main_loop; ///< signals and the dispatcher's timer
    boost::asio::signal_set signals;
    boost::asio::signal_set hangups;
    // On the main loop, used by all threads.
    tls_endpoint callers_tls;
    tls_endpoint backend_tls;
    tls_endpoint platform_tls;
    boost::asio::steady_timer usage_timer;
    metrics::metrics_registry registry;
    traffic_metrics observer;
    table_holder table;
    operator_key_watch key_watch; ///< on the control thread
    control_thread control;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    usage_tap tap;
    router_status status;
    std::vector<std::unique_ptr<boost::asio::io_context>> traffic_loops;
    edge::server server;
    std::vector<std::thread> threads;
    std::string http_address;
    instant drain_started{};
    bool draining = false;
    bool finished = false;
    int exit_status = 0;
};

} // namespace roseworks::app
