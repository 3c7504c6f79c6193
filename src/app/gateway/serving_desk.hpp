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

/** Keeps what this router believes of the deployment, and hands tables of it
    to the traffic thread.

    Belongs to the control thread; has to outlive its context's last run.
*/
class serving_desk
{
public:
    struct options
    {
        serving_view::options view;
        /// Changes that come together make one table.
        std::chrono::milliseconds publish_pause{2};
        /// More of it for each known server: a table is made anew for each
        /// change, and its cost grows with them.
        std::chrono::microseconds publish_pause_per_server{20};
        std::chrono::milliseconds tick{100};
    };

    struct notices
    {
        /// A newer configuration is in force.
        std::function<void(std::shared_ptr<const deployment>)> on_deployment;
        /// The servers, or what they hold, may have changed.
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

    // What the store says.
    void deployment_read(std::shared_ptr<const deployment> configuration);
    void servers_listed(std::vector<server_entry> all);
    void server_read(server_entry entry);
    void server_removed(std::string_view id);
    void store_back();

    /// The placement owner told what an engine holds.
    void residency_heard(engine_residency told);

    /// The placement owner told when a model that no engine has can be there.
    void outlook_heard(const std::string& model, instant ready);

    /// An engine refused a request for want of its model or adapter.
    void contradicted(std::string_view engine, std::string_view servable);

    /// No connection to a server could be opened.
    /// @return Whether it is an engine that was thought to be reachable.
    bool unreached(std::string_view server);

    /// Whether cold models can be loaded now.
    void orders_possible(bool possible);

    /// Requests that have crashed several servers may not run.
    void blocked_changed(std::unordered_set<fingerprint> requests);

    const serving_view& view() const
    {
        return this->known;
    }

    /// Whether requests can be routed. Read from any thread.
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
