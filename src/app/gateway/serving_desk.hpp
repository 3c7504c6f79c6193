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
class serving_desk
{
public:
    struct options
    {
        serving_view::options view;
        /// Delay between a change and the new table; changes within it are
        /// published together.
        std::chrono::milliseconds publish_pause{2};
        /// Additional delay per known server, since the cost of building a
        /// table grows with the number of servers.
        std::chrono::microseconds publish_pause_per_server{20};
        std::chrono::milliseconds tick{100};
    };

    struct notices
    {
        /// A newer configuration is in force.
        std::function<void(std::shared_ptr<const deployment>)> on_deployment;
        /// The servers, or the models that they hold, may have changed.
        std::function<void()> on_change;
    };

    serving_desk(
        boost::asio::io_context& loop,
        options settings,
        const clock_port& clock,
        event_sink& events,
        newest_table<serving_table_ptr>& tables,
        edge::shared_dispatcher& dispatch,
        notices told);

    void start();
    void stop();

    // Updates from the store.
    void deployment_read(std::shared_ptr<const deployment> configuration);
    void servers_listed(std::vector<server_entry> all);
    void server_read(server_entry entry);
    void server_removed(std::string_view id);
    void store_back();

    /// The placement owner announced which models an engine holds.
    void residency_heard(engine_residency residency);

    /// The placement owner announced when a model that no engine holds is
    /// expected to be ready.
    void outlook_heard(const std::string& model, instant ready);

    /// An engine refused a request because it doesn't hold the model or
    /// adapter.
    void contradicted(std::string_view engine, std::string_view servable);

    /// No connection to a server could be opened.
    /// @return Whether it is an engine that was considered reachable.
    bool unreached(std::string_view server);

    /// Sets whether models that no engine holds can be loaded.
    void orders_possible(bool possible);

    /// Sets the requests that are blocked because they crashed several servers.
    void blocked_changed(std::unordered_set<fingerprint> requests);

    const serving_view& view() const
    {
        return this->known;
    }

    /// @return Whether requests can be routed. Called from any thread.
    bool ready() const
    {
        return this->is_ready;
    }

private:
    void changed();
    void publish();
    duration publish_pause() const;
    void arm_tick();
    void tell_server(const server_entry& entry);
    void tell_organisations(const deployment* before, const deployment& now);

    boost::asio::io_context& loop;
    options settings;
    const clock_port& clock;
    event_sink& events;
    newest_table<serving_table_ptr>& tables;
    edge::shared_dispatcher& dispatch;
    notices tell;
    serving_view known;
    boost::asio::steady_timer publish_timer;
    boost::asio::steady_timer tick_timer;
    std::unordered_set<fingerprint> blocked;
    bool can_order = false;
    bool publishing = false;
    bool listed = false;
    bool stopped = false;
    std::atomic<bool> is_ready{false};
};

} // namespace roseworks::app
