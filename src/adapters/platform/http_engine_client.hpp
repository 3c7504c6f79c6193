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

/** Orders and state reads over HTTP, with connections kept by engine.

    Never repeats an order. Runs on the executor's single thread and has to
    outlive the last run of its context.
*/
class http_engine_client final : public engine_port
{
public:
    struct options
    {
        std::chrono::milliseconds order_timeout{2000};
        std::chrono::milliseconds connect_timeout{1000};
        std::chrono::milliseconds forget_after{120'000}; ///< unused engines
        const tls::connector* secured_by = nullptr;      ///< null: plain HTTP
    };

    http_engine_client(
        boost::asio::any_io_executor executor,
        const options& settings,
        credentials shown,
        byte_meter& meter);

    /// Orders that leave from now on show these.
    void show(credentials replacement);

    void send_order(
        const engine_order& order,
        std::string_view engine_name,
        may_send allowed,
        order_done done) override;
    void read_state(const read_engine& what, read_done done) override;
    void read_cache_events(
        const read_engine& what,
        std::uint64_t incarnation,
        cache_done done) override;
    void cancel_all() override;

private:
    struct server
    {
        http_client client;
        std::chrono::steady_clock::time_point last_used;
        std::uint64_t incarnation = 0; ///< whose cache events were read
        std::uint64_t next_event = 0;  ///< 0: none was read yet
        bool reading_events = false;
    };

    boost::asio::awaitable<void> run_order(
        http_client to, order_action action, http_call call, order_done done);
    boost::asio::awaitable<void>
    run_read(http_client from, engine_id engine, read_done done);
    boost::asio::awaitable<void> run_read_events(
        http_client from, read_engine what, cache_report asked, cache_done);
    server* find_server(const std::string& address);
    http_client* find_client(const std::string& address);
    void forget_unused(std::chrono::steady_clock::time_point now);

    boost::asio::any_io_executor executor;
    options settings;
    credentials shown;
    byte_meter& meter;
    std::unordered_map<std::string, server> servers; ///< by address
    std::chrono::steady_clock::time_point next_sweep{};
};

} // namespace roseworks::platform
