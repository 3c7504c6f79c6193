#pragma once

#include "adapters/edge/shared_dispatcher.hpp"
#include "adapters/platform/byte_meter.hpp"
#include "adapters/settings/gateway_settings.hpp"
#include "app/gateway/serving_desk.hpp"
#include "app/table_holder.hpp"
#include "ports/clock.hpp"
#include "ports/directory_port.hpp"
#include "ports/event_sink.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace roseworks::app
{

/** The one thread of the gateway's control state: reads the platform's store,
    keeps the view of the deployment, and places models while this router owns
    placement.

    Functions may be called from any thread.
*/
class gateway_control final : private directory_listener
{
public:
    struct notices
    {
        /// Called on the control thread.
        std::function<void(std::shared_ptr<const deployment>)> on_deployment;
        std::function<void(std::string reason)> on_failure;
    };

    gateway_control(
        const settings::gateway_settings& settings,
        const clock_port& clock,
        event_sink& events,
        newest_table<serving_table_ptr>& tables,
        std::shared_ptr<edge::shared_dispatcher> dispatch,
        notices told);
    ~gateway_control();

    gateway_control(const gateway_control&) = delete;
    gateway_control& operator=(const gateway_control&) = delete;

    void start();

    /// Gives placement up, so that another router can take it at once.
    void resign();

    /// A model has requests waiting here.
    void demand_arose(const demand& what);

    /// A connection broke under a request that a server may have begun.
    void connection_broke(const std::string& address, fingerprint request);

    /// Ends the thread.
    void stop();

    bool ready() const
    {
        return this->desk->ready();
    }

    /// @return Routers thought alive, this one included.
    std::size_t routers() const
    {
        return this->alive;
    }

private:
    // directory_listener
    void
    deployment_read(std::shared_ptr<const deployment> configuration) override;
    void servers_listed(std::vector<server_entry> all) override;
    void server_read(server_entry entry) override;
    void server_removed(std::string_view id) override;
    void routers_listed(std::vector<router_address> all) override;
    void tenure_changed(std::optional<placement_tenure> held) override;
    void directory_lost() override;
    void directory_back() override;

    void run();

    settings::gateway_settings settings;
    const clock_port& clock;
    event_sink& events;
    notices tell;
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    platform::byte_meter meter;
    std::unique_ptr<serving_desk> desk;
    std::unique_ptr<directory_port> directory;
    std::atomic<std::size_t> alive{1};
    instant lost_at;
    std::thread thread;
};

} // namespace roseworks::app
