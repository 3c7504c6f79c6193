#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "app/table_holder.hpp"
#include "core/serving/serving_view.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_set>

namespace roseworks::app
{

/** Maintains this router's view of the deployment, and publishes it as serving
    tables to the traffic thread.

    Used on the control thread only. Has to outlive the last run of its
    io_context.
*/
class serving_table_publisher
{
public:
    struct options
    {
        serving_view::options view;
        /// Delay between a change and the new table; changes within it are
        /// published together.
        std::chrono::milliseconds publish_delay{2};
        /// Additional delay per known server, since the cost of building a
        /// table grows with the number of servers.
        std::chrono::microseconds publish_delay_per_server{20};
        std::chrono::milliseconds tick_interval{100};
    };

    struct callbacks
    {
        /// A newer configuration is in force.
        std::function<void(std::shared_ptr<const deployment>)> on_deployment;
        /// The servers, or the models that they hold, may have changed.
        std::function<void()> on_change;
    };

    serving_table_publisher(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        newest_table<serving_table_ptr>& tables,
        edge::shared_dispatcher& dispatch,
        callbacks handlers);

    void start();
    void stop();

    // Updates from the store.
    void deployment_read(std::shared_ptr<const deployment> configuration);
    void servers_listed(std::vector<server_entry> all);
    void server_read(server_entry entry);
    void server_removed(std::string_view id);
    void store_outage_ended(instant end);
    void store_outage_refuted();

    /// A server leaves, or doesn't, whatever its registry entry says.
    void set_leaving(server_life life, bool leaving);

    /// The placement owner announced which models an engine holds.
    void residency_announced(engine_residency residency);

    /// The placement owner announced when a model that no engine holds is
    /// expected to be ready.
    void forecast_announced(const std::string& model, instant ready);

    /// An engine refused a request because it doesn't hold the model or
    /// adapter.
    void servable_refused(std::string_view engine, std::string_view servable);

    /// No connection to a server could be opened.
    /// @return Whether it is an engine that was considered reachable.
    bool server_unreachable(std::string_view server);

    /// Sets whether models that no engine holds can be loaded.
    void set_loading_possible(bool possible);

    const serving_view& view() const
    {
        return this->deployment_view;
    }

    /// @return Whether requests can be routed. Called from any thread.
    bool ready() const
    {
        return this->is_ready;
    }

private:
    void schedule_publish();
    void publish();
    duration publish_delay() const;
    void schedule_tick();
    void log_server(const server_entry& entry);
    void
    log_organisation_changes(const deployment* before, const deployment& now);

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    newest_table<serving_table_ptr>& tables;
    edge::shared_dispatcher& dispatch;
    callbacks notify;
    serving_view deployment_view;
    boost::asio::steady_timer publish_timer;
    boost::asio::steady_timer tick_timer;
    bool can_load = false;
    bool publish_scheduled = false;
    bool registry_read = false;
    bool stopped = false;
    std::atomic<bool> is_ready{false};
};

} // namespace roseworks::app
