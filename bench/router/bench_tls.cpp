/** What TLS costs on each leg, with real processes on loopback: latency and
    rate of the same calls over TLS and plain, the price of a handshake, and the
    bytes between router and engine.
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
#include <memory>
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
constexpr int counted_calls = 200;

/// Which legs of a call are secured, and whether each call takes a connection
/// of its own to the engine.
struct leg_setup
{
    std::string name;
    bool callers = false;
    bool backends = false;
    bool fresh = false;
};

const std::vector<leg_setup> measured_legs{
    {"plain", false, false, false},
    {"tls_callers", true, false, false},
    {"tls_backends", false, true, false},
    {"tls_both", true, true, false},
    {"plain_fresh", false, false, true},
    {"tls_backends_fresh", false, true, true}};

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
    target(
        const leg_setup& legs,
        const test::test_certificate& files,
        bool proxied = false)
        : name(legs.name)
        , uses_tls(legs.callers)
        , nodes(setup_of(legs, files, proxied))
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

    static test::fleet_setup setup_of(
        const leg_setup& legs,
        const test::test_certificate& files,
        bool proxied)
    {
        const std::string own = "certificate_file = " + files.certificate() +
                                "\nkey_file = " + files.key() + "\n";
        const std::string trusted = "ca_file = " + files.certificate() + "\n";
        test::fleet_setup setup;
        setup.routers = 1;
        setup.services = 0;
        setup.proxies = proxied;
        setup.engines = {
            {"e1", 40000, true, {"--token-ms", "0", "--slots", "64"}}};
        if (legs.callers)
            setup.router_settings += "[tls]\n" + own;
        if (legs.fresh)
            setup.router_settings +=
                "[traffic]\nbackend_connections_max_idle = 0\n";
        if (!legs.backends)
            return setup;
        setup.router_settings += "[backend_tls]\n" + own + trusted +
                                 "[platform_tls]\n" + own + trusted;
        setup.standin_tls = {
            "--tls-certificate",
            files.certificate(),
            "--tls-key",
            files.key(),
            "--tls-ca",
            files.certificate()};
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
    std::string name;
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

void print(const target& of)
{
    print_quantiles(of.name + "_latency", of.latency_ms, "ms");
    print_quantiles(of.name + "_first_answer", of.connect_ms, "ms");
    const double time = rate_rounds * rate_seconds;
    print_figure(of.name + "_rate", of.answered / time, "requests/s");
    print_figure(
        of.name + "_router_cpu_per_request",
        of.cpu / of.answered * to_us,
        "us");
}

void print_ratios(const target& of, const target& plain)
{
    const double before = quantile(plain.latency_ms, 0.5);
    const double after = quantile(of.latency_ms, 0.5);
    const std::string name = of.name + "_to_" + plain.name;
    print_figure(name + "_latency_p50", after / before, "x");
    print_figure(name + "_rate", of.answered / plain.answered, "x");
    print_figure(
        name + "_cpu",
        of.cpu / of.answered / (plain.cpu / plain.answered),
        "x");
}

/// Bytes of an exchange and its answer between router and engine, both ways.
double bytes_through(const test::fleet& nodes)
{
    const auto ledger = test::get_json(nodes.engine_proxy(0), "/ledger");
    return ledger.at("bytes_to_target").to_number<double>() +
           ledger.at("bytes_to_client").to_number<double>();
}

/// The engine's state is read meanwhile, too; its bytes are counted along.
void measure_bytes(const leg_setup& legs, const test::test_certificate& files)
{
    const target of(legs, files, true);
    caller open(of.address(), legs.callers);
    const double before = bytes_through(of.nodes);
    for (int i = 0; i < counted_calls; ++i)
        open.call(of.request);
    print_figure(
        legs.name + "_engine_bytes_per_request",
        (bytes_through(of.nodes) - before) / counted_calls,
        "bytes");
}

using target_ptr = std::unique_ptr<target>;

void measure_rates(const std::vector<target_ptr>& targets)
{
    // Started in this order.
    auto pids = children_running("roseworks-router");
    std::ranges::sort(pids);
    for (int round = 0; round < rate_rounds; ++round)
        for (std::size_t i = 0; i < targets.size(); ++i)
        {
            const double before = usage_of(pids.at(i)).cpu_seconds;
            targets[i]->load();
            targets[i]->cpu += usage_of(pids.at(i)).cpu_seconds - before;
        }
}

void run()
{
    const test::test_certificate files("bench");
    std::vector<target_ptr> targets;
    std::vector<std::unique_ptr<caller>> open;
    for (const leg_setup& legs : measured_legs)
    {
        targets.push_back(std::make_unique<target>(legs, files));
        open.push_back(
            std::make_unique<caller>(targets.back()->address(), legs.callers));
    }
    for (int round = 0; round < latency_rounds; ++round)
        for (std::size_t i = 0; i < targets.size(); ++i)
            measure_latency(*targets[i], *open[i]);
    for (int i = 0; i < handshakes; ++i)
        for (const target_ptr& of : targets)
            measure_connect(*of);
    measure_rates(targets);
    for (const target_ptr& of : targets)
        print(*of);
    const target& plain = *targets.at(0);
    const target& plain_fresh = *targets.at(4);
    for (std::size_t i = 0; i < targets.size(); ++i)
        if (measured_legs[i].callers || measured_legs[i].backends)
            print_ratios(
                *targets[i], measured_legs[i].fresh ? plain_fresh : plain);
    for (const leg_setup& legs : measured_legs)
        if (!legs.callers)
            measure_bytes(legs, files);
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
