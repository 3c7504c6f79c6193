#pragma once

#include "adapters/log/http_log_client.hpp"
#include "adapters/peers/mac_keys.hpp"
#include "adapters/peers/udp_peers.hpp"
#include "adapters/platform/byte_meter.hpp"
#include "adapters/platform/credentials.hpp"
#include "adapters/platform/http_engine_client.hpp"
#include "adapters/platform/http_vm_list_client.hpp"
#include "app/claim_desk.hpp"
#include "app/control_loop.hpp"
#include "app/control_notices.hpp"
#include "app/file_watch.hpp"
#include "ports/clock.hpp"
#include "ports/event_sink.hpp"

#include <roseworks/controller.hpp>
#include <roseworks/instant.hpp>
#include <roseworks/operator_key.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace roseworks::app
{

/// Everything that the control thread is set up with.
struct control_options
{
    controller::options control;
    boost::asio::ip::tcp::endpoint log_server;
    log_client::http_log_client::options log;
    platform::http_engine_client::options engines;
    platform::credentials shown;
    std::string credentials_file; ///< `shown` was read from it; may be empty
    std::optional<boost::asio::ip::tcp::endpoint> vm_list_server;
    platform::http_vm_list_client::options vm_list;
    udp_peers::options peers;
    mac_keys keys;
    /// Public keys that are expected to sign; empty: none is compared.
    std::vector<operator_key> operator_keys;
};

/** The one thread of the control state, with its event loop and clients.

    Sockets are bound by the constructor, so that addresses are known before
    `start`.
*/
class control_thread
{
public:
    /** Bind and compose.

        @param settings What to do.
        @param clock    The clocks.
        @param events   Receives events; has to be thread-safe.
        @param notices  Told on the control thread; the claims' are filled in.
        @param failed   Told on the control thread when a fault ended it.
        @throws boost::system::system_error when the UDP address can't be bound.
    */
    control_thread(
        control_options settings,
        const clock_port& clock,
        event_sink& events,
        control_notices notices,
        std::function<void()> failed);
    ~control_thread();

    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    /// @return The bound UDP ip:port.
    std::string peer_address() const;

    /// @param http_address The callers' address, told to other routers.
    void start(std::string http_address);

    /// Ends the thread soon; without `leave` its session stays open.
    void stop();

    /// Runs a step on the control thread.
    void post(std::function<void(control_loop&)> step);

    /// Reads the files of credentials and of the datagrams' keys now.
    void reload_files();

    claim_port& claims();

    /// @return Processor time of the thread.
    duration processor_time() const;

    const platform::byte_meter& bytes() const;
    const udp_peers::counters& datagrams() const;

private:
    control_ports make_ports(const clock_port& clock);
    controller::options with_peer_address(controller::options wanted) const;
    control_notices with_claims(control_notices wanted);
    void run();

    event_sink& events;
    std::function<void()> failed;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    platform::byte_meter meter;
    log_client::http_log_client log;
    platform::http_engine_client engines;
    file_watch watched_credentials;
    std::unique_ptr<platform::http_vm_list_client> vm_list;
    udp_peers peers;
    control_loop loop;
    claim_desk desk;
    std::thread thread;
    std::future<void> ended;
};

} // namespace roseworks::app
