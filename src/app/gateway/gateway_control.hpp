#pragma once

#include "adapters/edge/direct_opener.hpp"
#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/peers/gateway_peers.hpp"
#include "adapters/platform/byte_meter.hpp"
#include "adapters/relay/router_opinions.hpp"
#include "adapters/settings/gateway_settings.hpp"
#include "app/gateway/crash_controller.hpp"
#include "app/gateway/demand_reporter.hpp"
#include "app/gateway/engine_reach.hpp"
#include "app/gateway/notice_controller.hpp"
#include "app/gateway/origin_controller.hpp"
#include "app/gateway/pace_controller.hpp"
#include "app/gateway/placement_controller.hpp"
#include "app/gateway/quota_controller.hpp"
#include "app/gateway/relay_routers.hpp"
#include "app/gateway/server_limit_controller.hpp"
#include "app/gateway/serving_table_publisher.hpp"
#include "app/gateway/usage_counter.hpp"
#include "app/table_holder.hpp"
#include "ports/clock.hpp"
#include "ports/crash_archive_port.hpp"
#include "ports/directory_copy_port.hpp"
#include "ports/directory_port.hpp"
#include "ports/engine_command_port.hpp"
#include "ports/event_sink.hpp"
#include "ports/gateway_peer_port.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::app
{

/** The control thread of the gateway: reads the platform's store, maintains the
    view of the deployment, and places models while this router owns placement.

    Thread-safe.
*/
class gateway_control final : private directory_listener,
                              private gateway_peer_listener
{
public:
    struct callbacks
    {
        /// Called on the control thread.
        std::function<void(std::shared_ptr<const deployment>)> on_deployment;
        std::function<void(std::string reason)> on_failure;
        /// A request that crashes servers has become blocked.
        std::function<void()> on_request_blocked;
        /// The other routers of the deployment have changed.
        std::function<void(relay_routers)> on_routers;
        /// As `quota_controller::options::on_class_usage`; may be empty.
        std::function<void(std::uint8_t urgency, double used, double refused)>
            on_class_usage{};
    };

    gateway_control(
        const settings::gateway_settings& settings,
        const clock_port& clock,
        event_sink& events,
        newest_table<serving_table_ptr>& tables,
        std::shared_ptr<edge::shared_dispatcher> dispatch,
        callbacks handlers);
    ~gateway_control() override;

    gateway_control(const gateway_control&) = delete;
    gateway_control& operator=(const gateway_control&) = delete;

    void start();

    /// Releases ownership of placement, so that another router can acquire it
    /// at once.
    void resign();

    /// Requests for a servable are waiting on this router.
    void demand_waiting(const demand& waiting);

    /// An engine refused a request because it doesn't hold the servable, though
    /// this router's view says that it does.
    void engine_refused(const std::string& servable, const std::string& engine);

    /// No connection to a server could be opened.
    /// @param server id of its registry entry.
    void server_unreachable(const std::string& server);

    /// Whether the traffic thread reaches most servers only through other
    /// routers. Meanwhile this router doesn't own placement.
    void servers_cut_off(bool cut_off);

    /// Stops and joins the thread.
    void stop();

    /// A request for a servable was sent to an engine.
    void request_started(const std::string& servable, const std::string& engine)
    {
        this->usage.started(servable, engine);
    }

    /// A request that was sent to an engine has ended.
    void request_ended(const std::string& servable, const std::string& engine);

    /// A server answered a request.
    /// @param sent   When the request was sent.
    void server_answered(
        const server_identity& server,
        const server_notice& notice,
        instant sent)
    {
        if (!notice.replaced)
            this->limit_controller->answered(server.instance, notice, sent);
        this->notices.answered(server, notice, sent);
    }

    /// The time between the events of a stream was measured.
    void stream_measured(
        const std::string& servable, server_life run, const stream_timer& times)
    {
        if (this->settings.pace.estimate)
            this->paces.measured(servable, run, times);
    }

    /// @return Number of engines in a class, while this router owns placement.
    std::size_t paced_engines(pace_class wanted) const
    {
        return this->placement->paced_engines(wanted);
    }

    /// The dispatcher needs a permit to send to a rate-limited or brittle
    /// server.
    void permit_needed(const permit_wanted& wanted)
    {
        this->limit_controller->permit_needed(wanted);
    }

    /// No request waits any more for a permit.
    void permit_cancelled(const roseworks::permit_cancelled& cancelled)
    {
        this->limit_controller->permit_cancelled(cancelled);
    }

    /// A request to a brittle server has ended.
    void place_released(const roseworks::place_released& released)
    {
        this->limit_controller->place_released(released);
    }

    /// @return The port to the limits of organisations.
    quota_port& organisation_limits()
    {
        return *this->quotas;
    }

    /// @return The port to the requests that crash servers.
    crash_port& crashing_requests()
    {
        return *this->crashes;
    }

    /// @return The port to the origins of streams.
    origin_port& stream_origins()
    {
        return *this->origins;
    }

    bool ready() const
    {
        return this->serving->ready();
    }

    /// @return Whether another router is known to have a newer configuration.
    bool is_deployment_stale() const
    {
        return this->deployment_stale;
    }

private:
    // directory_listener
    void
    deployment_read(std::shared_ptr<const deployment> configuration) override;
    void deployment_staleness_changed(bool stale) override;
    void servers_listed(std::vector<server_entry> all) override;
    void server_read(server_entry entry) override;
    void server_removed(std::string_view id) override;
    void routers_listed(std::vector<router_address> all) override;
    void tenure_changed(std::optional<placement_tenure> held) override;
    void ownership_ended() override;
    void term_ended() override;
    void store_unreachable() override;
    void store_reachable() override;
    void store_outage_ended(instant end) override;
    void store_outage_refuted() override;
    void store_read(const directory_update& message) override;

    // gateway_peer_listener
    void router_report_received(const router_report& message) override;
    void owner_announcement_received(
        const owner_announcement& message, std::string_view from) override;
    void crash_report_received(
        const crash_report& message, std::string_view from) override;
    void part_crash_report_received(
        const part_crash_report& message, std::string_view from) override;
    void origin_message_received(
        const origin_message& message, std::string_view from) override;
    void directory_update_received(const directory_update& message) override;
    void quota_query_received(
        const quota_query& query, std::string_view from) override;
    void quota_reply_received(const quota_reply& reply) override;
    void
    server_limit_update_received(const server_limit_update& message) override;

    void run();
    void apply_announcement(
        const owner_announcement& message, std::string_view from);
    void send_announcement(
        const owner_announcement& message,
        std::span<const std::string> routers);
    void schedule_usage_report();
    void report_paces();
    void check_owner();
    void owner_lost(instant now);
    std::vector<std::string> router_names() const;
    /// @return The addresses of all routers except this one.
    std::vector<std::string> other_addresses() const;
    void send_to_owner(router_report message);
    /// Passes to the directory whether this router may own placement.
    void update_may_own();

    /// The owner of placement, from its latest announcement.
    struct known_owner
    {
        std::string name;
        std::string address; ///< empty if it is this router
        std::uint64_t fence = 0;
        instant last_heard; ///< when its latest announcement was received
    };

    settings::gateway_settings settings;
    const clock_port& clock;
    event_sink& events;
    callbacks notify;
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard;
    platform::byte_meter meter;
    std::unique_ptr<serving_table_publisher> serving;
    pace_controller paces;
    std::unique_ptr<directory_copy_port> copies;
    std::unique_ptr<directory_port> directory;
    std::unique_ptr<gateway_peer_port> peers;
    std::unique_ptr<quota_controller> quotas;
    relay::router_opinions opinions;
    std::unique_ptr<crash_archive_port> crash_archive;
    std::unique_ptr<crash_controller> crashes;
    std::unique_ptr<origin_controller> origins;
    std::unique_ptr<server_limit_controller> limit_controller;
    notice_controller notices;
    std::unique_ptr<engine_command_port> commands;
    edge::direct_opener direct;
    engine_reach engines;
    std::unique_ptr<placement_controller> placement;
    usage_counter usage;
    std::map<std::string, std::string> router_addresses; ///< by name
    std::optional<known_owner> owner;
    instant owner_missing_since;
    demand_reporter reporter;
    boost::asio::steady_timer usage_report_timer;
    std::size_t live_routers = 1;
    bool traffic_cut_off = false; ///< as the traffic thread reports it
    std::atomic<bool> deployment_stale{false};
    instant store_lost_at;
    std::thread thread;
};

} // namespace roseworks::app
