#pragma once

#include "adapters/edge/direct_opener.hpp"
#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/events/pipe_event_sink.hpp"
#include "adapters/forward/forward_server.hpp"
#include "adapters/forward/probe_server.hpp"
#include "adapters/forward/relayed_notices.hpp"
#include "adapters/metrics/metrics_registry.hpp"
#include "adapters/platform/byte_meter.hpp"
#include "adapters/platform/system_clock.hpp"
#include "adapters/relay/relay_server.hpp"
#include "adapters/relay/relayed_opener.hpp"
#include "adapters/settings/gateway_settings.hpp"
#include "app/gateway/gateway_control.hpp"
#include "app/gateway/pace_metrics.hpp"
#include "app/gateway/quota_metrics.hpp"
#include "app/table_holder.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>

namespace roseworks::app
{

/// Why the gateway can't start.
struct gateway_start_error
{
    std::string what;
    std::string reason;
};

/** The gateway: one process on each VM, which forwards callers' requests to
    the backend servers of the platform.

    Traffic runs on the calling thread, and the control state on a thread of its
    own. SIGTERM starts a drain: the readiness probe fails at once, but the
    gateway accepts and finishes requests until the load balancer has noticed,
    and then exits with status 0. SIGHUP checks the settings file.
*/
class gateway_app
{
public:
    static boost::leaf::result<std::unique_ptr<gateway_app>>
    make(const settings::gateway_settings& settings, std::string config_path);

    ~gateway_app();

    gateway_app(const gateway_app&) = delete;
    gateway_app& operator=(const gateway_app&) = delete;

    /// Serves requests until a signal stops the process.
    /// @return The exit status of the process.
    int run();

private:
    gateway_app(
        const settings::gateway_settings& settings, std::string config_path);

    boost::leaf::result<void> listen();
    forward::forward_context make_context();
    gateway_control::callbacks make_callbacks();
    void wait_for_signals();
    void reload();
    void start_drain();
    void check_drained();
    /// Reports lines that were not written, and judges the ways to the servers.
    void run_every_second();
    void finish();
    forward::probe_response readiness() const;
    forward::probe_response metrics_page(std::string_view path) const;

    settings::gateway_settings settings;
    std::string config_path;
    platform::system_clock clock;
    events::pipe_event_sink events;
    metrics::metrics_registry registry;
    forward::forward_metrics counts;
    pace_metrics paces;
    std::optional<quota_metrics> quota_counts; ///< set if requests are ordered
    boost::asio::io_context traffic;
    newest_table<serving_table_ptr> tables;
    std::shared_ptr<edge::shared_dispatcher> dispatch;
    std::unique_ptr<gateway_control> control;
    edge::direct_opener direct;
    relay::relayed_opener opener;
    forward::forward_context context;
    forward::forward_server server;
    forward::relayed_notices relayed;
    relay::relay_server relays;
    forward::probe_server readiness_probe;
    forward::probe_server metrics_probe;
    boost::asio::signal_set signals;
    boost::asio::steady_timer drain_timer;
    boost::asio::steady_timer second_timer;
    instant drain_start;
    bool draining = false;
    bool idle_closed = false;
    bool sending_stopped = false;
};

} // namespace roseworks::app
