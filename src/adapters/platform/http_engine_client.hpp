#pragma once

#include "adapters/platform/credentials.hpp"
#include "adapters/platform/http_client.hpp"
#include "ports/engine_port.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace roseworks::platform
{

/** Sends orders to engines and reads their state over HTTP. Keeps persistent
    connections per engine.

    Never repeats an order. All calls run on the executor's single thread, and
    the object must outlive the last run of its context.
*/
class http_engine_client final : public engine_port
{
public:
    struct options
    {
        std::chrono::milliseconds order_timeout{2000};
        std::chrono::milliseconds connect_timeout{1000};
        /// Connections of an engine that isn't used for this time are closed.
        std::chrono::milliseconds unused_engine_timeout{120'000};
        const tls::connector* tls_connector = nullptr; ///< null: plain HTTP
    };

    http_engine_client(
        boost::asio::any_io_executor executor,
        const options& settings,
        credentials current_credentials,
        byte_meter& meter);

    /// Replaces the credentials for all orders sent from now on.
    void set_credentials(credentials replacement);

    void send_order(
        const engine_order& order,
        std::string_view engine_name,
        may_send allowed,
        order_done done) override;
    void read_state(const read_engine& request, read_done done) override;
    void read_cache_events(
        const read_engine& request,
        std::uint64_t incarnation,
        cache_done done) override;
    void cancel_all() override;

private:
    struct server
    {
        http_client client;
        std::chrono::steady_clock::time_point last_used;
        std::uint64_t incarnation = 0; ///< of `next_event`
        std::uint64_t next_event = 0;  ///< 0: no event was read yet
        bool is_reading_events = false;
    };

    boost::asio::awaitable<void> run_order(
        http_client to, order_action action, http_call call, order_done done);
    boost::asio::awaitable<void>
    run_read(http_client from, engine_id engine, read_done done);
    boost::asio::awaitable<void> run_read_events(
        http_client from,
        read_engine request,
        cache_report requested,
        cache_done);
    server* find_server(const std::string& address);
    http_client* find_client(const std::string& address);
    void remove_unused_servers(std::chrono::steady_clock::time_point now);

    boost::asio::any_io_executor executor;
    options settings;
    credentials current_credentials;
    byte_meter& meter;
    std::unordered_map<std::string, server> servers; ///< by address
    std::chrono::steady_clock::time_point next_removal{};
};

} // namespace roseworks::platform
