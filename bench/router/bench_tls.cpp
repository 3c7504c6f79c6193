/** What TLS towards callers costs, with real processes on loopback: latency
    and rate of the same calls over TLS and plain, and the price of a handshake.
*/
#include "bench/router/figures.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/test_certificate.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace ssl = asio::ssl;

using clock = std::chrono::steady_clock;

constexpr int latency_rounds = 60;
constexpr int calls_a_round = 10;
constexpr int handshakes = 200;
constexpr int rate_rounds = 4;
constexpr std::size_t rate_callers = 8;
constexpr double rate_seconds = 0.75;
constexpr double to_ms = 1000;
constexpr double to_us = 1e6;

/// One keep-alive connection, over TLS or plain.
class caller
{
public:
    caller(const std::string& address, bool secure)
        : settings(ssl::context::tls_client)
        , stream(this->context, this->settings)
        , uses_tls(secure)
    {
        const auto colon = address.rfind(':');
        const auto port =
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
        auto& socket = this->stream.next_layer();
        socket.connect({asio::ip::address_v4::loopback(), port});
        socket.set_option(asio::ip::tcp::no_delay(true));
        if (secure)
            this->stream.handshake(ssl::stream_base::client);
    }

    /// @return Seconds; negative unless the answer was 200.
    double call(const test::http_call& what)
    {
        return this->uses_tls ? this->call_on(this->stream, what)
                              : this->call_on(this->stream.next_layer(), what);
    }

private:
    template <class Stream>
    double call_on(Stream& on, const test::http_call& what)
    {
        http::request<http::string_body> request;
        request.method_string(what.method);
        request.target(what.target);
        request.version(11);
        request.set(http::field::host, "r");
        for (const auto& [name, value] : what.headers)
            request.set(name, value);
        request.body() = what.body;
        request.prepare_payload();
        const auto start = clock::now();
        http::write(on, request);
        http::response<http::string_body> answer;
        http::read(on, this->buffer, answer);
        const double seconds = seconds_since(start);
        return answer.result() == http::status::ok ? seconds : -1;
    }

    asio::io_context context;
    ssl::context settings;
    ssl::stream<asio::ip::tcp::socket> stream;
    beast::flat_buffer buffer;
    bool uses_tls;
};

/// One router with an engine that answers at once.
struct target
{
    target(bool secure, const std::string& tls_settings)
        : uses_tls(secure)
        , nodes(setup_of(tls_settings))
    {
        const auto put = this->nodes.publish(
            "[model agri-lm]\nmemory_mib = 100\nmax_streams = 64\n"
            "load_estimate_ms = 100\nmin_replicas = 1\nmax_replicas = 1\n",
            "bench");
        if (put.exit_code != 0)
            throw std::runtime_error(put.output);
        const bool warm = test::eventually(
            [&]
            {
                return caller(this->address(), this->uses_tls)
                           .call(this->request) >= 0;
            });
        if (!warm)
            throw std::runtime_error("never warm");
    }

    static test::fleet_setup setup_of(const std::string& tls_settings)
    {
        test::fleet_setup setup;
        setup.routers = 1;
        setup.services = 0;
        setup.engines = {
            {"e1", 40000, true, {"--token-ms", "0", "--slots", "64"}}};
        setup.router_settings = tls_settings;
        return setup;
    }

    const std::string& address() const
    {
        return this->nodes.router_address(0);
    }

    /// Calls on several connections for a time; adds up the good ones.
    void load()
    {
        std::mutex guard;
        std::vector<std::jthread> threads;
        const auto start = clock::now();
        for (std::size_t i = 0; i < rate_callers; ++i)
            threads.emplace_back(
                [&]
                {
                    caller own(this->address(), this->uses_tls);
                    std::size_t good = 0;
                    while (seconds_since(start) < rate_seconds)
                        good += own.call(this->request) >= 0 ? 1 : 0;
                    const std::scoped_lock lock(guard);
                    this->answered += static_cast<double>(good);
                });
    }

    test::http_call request = test::completion("agri-lm", "warm");
    bool uses_tls;
    test::fleet nodes;
    std::vector<double> latency_ms;
    std::vector<double> connect_ms;
    double answered = 0;
    double cpu = 0;
};

void measure_latency(target& of, caller& open)
{
    for (int i = 0; i < calls_a_round; ++i)
    {
        const double seconds = open.call(of.request);
        if (seconds >= 0)
            of.latency_ms.push_back(seconds * to_ms);
    }
}

void measure_connect(target& of)
{
    const auto start = clock::now();
    caller fresh(of.address(), of.uses_tls);
    if (fresh.call(of.request) >= 0)
        of.connect_ms.push_back(seconds_since(start) * to_ms);
}

void print(const std::string& name, const target& of)
{
    print_quantiles(name + "_latency", of.latency_ms, "ms");
    print_quantiles(name + "_first_answer", of.connect_ms, "ms");
    const double time = rate_rounds * rate_seconds;
    print_figure(name + "_rate", of.answered / time, "requests/s");
    print_figure(
        name + "_router_cpu_per_request", of.cpu / of.answered * to_us, "us");
}

void run()
{
    const test::test_certificate files("bench");
    target plain(false, "");
    target secured(
        true,
        "[tls]\ncertificate_file = " + files.certificate() +
            "\nkey_file = " + files.key() + "\n");
    caller plain_open(plain.address(), false);
    caller secured_open(secured.address(), true);
    for (int round = 0; round < latency_rounds; ++round)
    {
        measure_latency(plain, plain_open);
        measure_latency(secured, secured_open);
    }
    for (int i = 0; i < handshakes; ++i)
    {
        measure_connect(plain);
        measure_connect(secured);
    }
    // Started in this order.
    auto pids = children_running("roseworks-router");
    std::ranges::sort(pids);
    for (int round = 0; round < rate_rounds; ++round)
        for (target* of : {&plain, &secured})
        {
            const int pid = pids.at(of == &plain ? 0 : 1);
            const double before = usage_of(pid).cpu_seconds;
            of->load();
            of->cpu += usage_of(pid).cpu_seconds - before;
        }
    print("plain", plain);
    print("tls", secured);
    const double plain_p50 = quantile(plain.latency_ms, 0.5);
    const double tls_p50 = quantile(secured.latency_ms, 0.5);
    print_figure("tls_added_latency_p50", tls_p50 - plain_p50, "ms");
    print_figure("tls_latency_ratio_p50", tls_p50 / plain_p50, "x");
    print_figure("tls_rate_ratio", secured.answered / plain.answered, "x");
    print_figure(
        "tls_cpu_ratio",
        secured.cpu / secured.answered / (plain.cpu / plain.answered),
        "x");
}

} // namespace

int main()
{
    try
    {
        run();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "bench_tls: %s\n", error.what());
        return 1;
    }
}
