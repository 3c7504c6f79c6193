#include "bench/router/figures.hpp"
#include "bench/router/measured_fleet.hpp"
#include "bench/router/measurements.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace roseworks::bench
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t streams = 40;
/// Cut four times each; more would use up the budget for going on.
constexpr std::size_t streams_cut_often = 8;
constexpr int tokens = 40;
/// A connection passes two thirds of a stream: the rest fits in another.
constexpr const char* cut =
    R"({"mode":"truncate","after_bytes":5000,"end":"reset"})";
/// A connection passes a quarter of a stream, and so does the next.
constexpr const char* cut_often =
    R"({"mode":"truncate","after_bytes":2000,"end":"reset"})";
constexpr const char* pass = R"({"mode":"pass"})";

/// One way of running: whether the engines' streams can be continued.
struct cut_case
{
    std::string name;
    std::vector<std::string> engine;
};

test::http_call stream_call()
{
    auto call = test::completion("agri-lm", "cut");
    call.body = R"({"model":"agri-lm","stream":true,"max_tokens":)" +
                std::to_string(tokens) +
                R"(,"messages":[{"role":"user","content":"cut"}]})";
    return call;
}

void control_engines(const test::fleet& nodes, const char* command)
{
    for (std::size_t i = 0; i < nodes.engines_count(); ++i)
        require(test::control(nodes.engine_proxy(i), command), "proxy control");
}

/// Streams one after the other, each under a command to the engines' proxies;
/// prints how many came whole, and how long they took.
void measure_streams_of(
    const std::string& name,
    const test::fleet& nodes,
    const char* command,
    std::size_t count = streams)
{
    std::vector<double> took;
    std::size_t whole = 0;
    std::size_t cut_short = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        // Counts the bytes of kept connections anew.
        control_engines(nodes, command);
        const auto start = clock::now();
        const auto reply = test::send(nodes.router_address(0), stream_call());
        took.push_back(seconds_since(start) * to_ms);
        const bool done = reply.body.find("[DONE]") != std::string::npos;
        const bool error = reply.body.find("event: error") != std::string::npos;
        const auto events = static_cast<int>(
            std::count(reply.body.begin(), reply.body.end(), '{'));
        whole += done && !error && events > tokens ? 1 : 0;
        cut_short += error ? 1 : 0;
    }
    print_figure(name + "_whole", static_cast<double>(whole), "streams");
    print_figure(name + "_cut", static_cast<double>(cut_short), "streams");
    print_quantiles(name + "_time", took, "ms");
}

void measure_case(const cut_case& run)
{
    test::fleet_setup setup;
    setup.routers = 1;
    setup.proxies = true;
    setup.engines = {
        {"e1", 40000, true, run.engine}, {"e2", 40000, true, run.engine}};
    test::fleet nodes(std::move(setup));
    publish(nodes, model_record("agri-lm", 2, 2));
    warm(nodes.router_address(0), stream_call());
    measure_streams_of(run.name + "_undisturbed", nodes, pass);
    measure_streams_of(run.name + "_reset_midway", nodes, cut);
    measure_streams_of(
        run.name + "_reset_often", nodes, cut_often, streams_cut_often);
}

} // namespace

void measure_cuts()
{
    measure_case({"streams_not_resumable", {"--token-ms", "5"}});
    measure_case({"streams_resumable", {"--token-ms", "5", "--resume"}});
}

} // namespace roseworks::bench
