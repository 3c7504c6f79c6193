/** Goodput and the p99 of urgent calls at 0.5 to 4 times saturation, with real
    processes on loopback: routers, stand-in engines and open-loop callers.

    The baseline in the same run is first come, first served: the same routers
    and the same arrivals, but every call says the same class, caller and
    deadline (the longest of them), so that they are served in order of
    arrival. Callers judge by their own patience in both.
*/
#include "bench/router/figures.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"
#include "tools/common/http_call.hpp"
#include "tools/load/load_run.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t router_count = 2;
constexpr std::size_t engine_count = 2;
constexpr std::size_t slots_an_engine = 8;
constexpr std::uint32_t tokens = 16;
constexpr auto token_time = 10ms;
constexpr std::size_t caller_count = 8;
constexpr std::uint64_t seed = 42;

/// Calls a second that fill all slots.
constexpr double saturation =
    double(engine_count * slots_an_engine) /
    std::chrono::duration<double>(tokens * token_time).count();

/// Arrivals go on for so long; only what begins to be answered after the
/// warm-up counts.
constexpr auto warm_up = 3s;
constexpr auto length = 15s;

constexpr const char* queue_metric = "roseworks_queue_wait_seconds";
constexpr const char* first_byte_metric = "roseworks_first_byte_seconds";

/// A class of calls: its share, and how long its callers wait for a token.
struct call_class
{
    const char* name;
    double share;
    std::chrono::milliseconds patience;
};

constexpr std::array<call_class, 3> classes{
    {{"urgent", 0.1, 500ms},
     {"normal", 0.3, 2'000ms},
     {"batch", 0.6, 6'000ms}}};

enum class discipline
{
    dispatcher,
    fcfs
};

/// Arrivals, and the class of each.
struct arrivals
{
    std::vector<tools::planned_call> calls;
    std::vector<std::size_t> class_of;
};

arrivals make_arrivals(double load, discipline kind, const std::string& run)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load * saturation);
    std::discrete_distribution<std::size_t> draw(
        {classes[0].share, classes[1].share, classes[2].share});
    arrivals made;
    std::chrono::duration<double> at{};
    while (true)
    {
        at += std::chrono::duration<double>(gap(random));
        const std::size_t which = draw(random);
        const std::uint64_t caller = random() % caller_count;
        const std::uint64_t router = random() % router_count;
        if (at >= length)
        {
            return made;
        }
        tools::planned_call call;
        call.at = std::chrono::duration_cast<std::chrono::nanoseconds>(at);
        call.request_id = run + "-" + std::to_string(made.calls.size());
        call.model = "agri-lm";
        call.prompt = call.request_id;
        call.max_tokens = tokens;
        call.router = router;
        const bool is_fcfs = kind == discipline::fcfs;
        call.caller = "desk-" + std::to_string(is_fcfs ? 0 : caller);
        call.urgency = is_fcfs ? "normal" : classes[which].name;
        call.deadline =
            is_fcfs ? classes.back().patience : classes[which].patience;
        made.calls.push_back(std::move(call));
        made.class_of.push_back(which);
    }
}

void print_run(
    const std::string& name,
    const arrivals& sent,
    const std::vector<tools::call_result>& results)
{
    const double window =
        std::chrono::duration<double>(length - warm_up).count();
    std::array<double, 3> asked{};
    std::array<double, 3> timely{};
    double good = 0;
    double refused = 0;
    double false_start = 0;
    double late_refusals = 0;
    std::vector<double> urgent_ms;
    std::map<std::string, double> urgent_refused;
    std::map<std::string, double> unclear;
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        const tools::call_result& result = results[i];
        const std::size_t which = sent.class_of[i];
        const auto at = sent.calls[i].at;
        const bool answered = result.outcome == tools::call_outcome::answered;
        const bool in_time =
            answered && result.first_token <= classes[which].patience;
        const auto began = at + result.first_token;
        good += in_time && began >= warm_up && began < length ? 1 : 0;
        if (at < warm_up)
        {
            continue;
        }
        ++asked[which];
        timely[which] += in_time ? 1 : 0;
        if (answered && which == 0)
        {
            urgent_ms.push_back(
                std::chrono::duration<double, std::milli>(result.first_token)
                    .count());
        }
        const bool is_refused = result.outcome == tools::call_outcome::not_run;
        refused += is_refused ? 1 : 0;
        if (is_refused && which == 0)
        {
            ++urgent_refused[result.reason];
        }
        late_refusals +=
            is_refused && result.total > sent.calls[i].deadline ? 1 : 0;
        if (!answered && !is_refused)
        {
            ++false_start;
            const bool begun = result.status == 200;
            const std::string why = begun ? "cut_midway" : result.reason;
            ++unclear
                [std::string(classes[which].name) + "_" +
                 to_string(result.outcome) + "_" + why];
        }
    }
    const double all = asked[0] + asked[1] + asked[2];
    print_figure(name + "goodput", good / window, "1/s");
    print_figure(name + "urgent_p99", quantile(urgent_ms, 0.99), "ms");
    print_figure(name + "urgent_p50", quantile(urgent_ms, 0.5), "ms");
    print_figure(name + "urgent_answered", double(urgent_ms.size()), "calls");
    for (std::size_t i = 0; i < classes.size(); ++i)
    {
        print_figure(
            name + classes[i].name + "_timely",
            100 * timely[i] / asked[i],
            "%");
    }
    for (const auto& [reason, count] : urgent_refused)
    {
        print_figure((name + "urgent_refused_").append(reason), count, "calls");
    }
    print_figure(name + "refused", 100 * refused / all, "%");
    print_figure(name + "refused_late", late_refusals, "calls");
    print_figure(name + "neither", false_start, "calls");
    for (const auto& [what, count] : unclear)
    {
        print_figure((name + "neither_").append(what), count, "calls");
    }
}

/// Print how full the engines' own queues were once warm.
void print_engines(
    const std::string& name, const std::vector<tools::fleet_sample>& samples)
{
    std::vector<double> running;
    std::vector<double> waiting;
    for (const tools::fleet_sample& sample : samples)
    {
        if (sample.at >= warm_up && sample.at < length)
        {
            running.push_back(sample.running);
            waiting.push_back(sample.waiting);
        }
    }
    print_figure(name + "engines_running_p50", quantile(running, 0.5), "calls");
    print_figure(name + "engines_waiting_p50", quantile(waiting, 0.5), "calls");
    print_figure(name + "engines_waiting_max", quantile(waiting, 1), "calls");
}

/// Sums and counts of a latency of all routers, by class.
struct latency_totals
{
    std::array<double, 3> sum{};
    std::array<double, 3> count{};
};

latency_totals read_totals(const test::fleet& nodes, const std::string& metric)
{
    std::vector<std::string> names;
    for (const call_class& one : classes)
    {
        const std::string label =
            "{priority=\"" + std::string(one.name) + "\"}";
        names.push_back((metric + "_sum").append(label));
        names.push_back((metric + "_count").append(label));
    }
    latency_totals totals;
    for (std::size_t i = 0; i < router_count; ++i)
    {
        const auto values = read_metrics(nodes.router_address(i), names);
        for (std::size_t k = 0; k < classes.size(); ++k)
        {
            totals.sum[k] += values[2 * k];
            totals.count[k] += values[2 * k + 1];
        }
    }
    return totals;
}

void print_means(
    const std::string& name,
    const latency_totals& before,
    const latency_totals& after)
{
    for (std::size_t k = 0; k < classes.size(); ++k)
    {
        const double count = after.count[k] - before.count[k];
        const double sum = after.sum[k] - before.sum[k];
        print_figure(
            name + classes[k].name + "_mean",
            count == 0 ? 0 : 1000 * sum / count,
            "ms");
    }
}

tools::endpoint endpoint_of(const std::string& address)
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return tools::parse_endpoint(address);
        },
        [&]() -> tools::endpoint
        {
            throw std::runtime_error("not an address: " + address);
        });
}

test::fleet_setup make_setup()
{
    const std::vector<std::string> extra{
        "--slots",
        std::to_string(slots_an_engine),
        "--token-ms",
        std::to_string(token_time.count())};
    test::fleet_setup setup;
    setup.routers = router_count;
    setup.engines = {{"e1", 40000, true, extra}, {"e2", 40000, true, extra}};
    return setup;
}

void publish_records(test::fleet& nodes)
{
    std::string records =
        "[model agri-lm]\nmemory_mib = 100\nmax_streams = " +
        std::to_string(slots_an_engine) +
        "\nload_estimate_ms = 100\nmin_replicas = 2\nmax_replicas = 2\n";
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        records += "[caller desk-" + std::to_string(i) + "]\nclass = urgent\n";
    }
    const auto result = nodes.apply(records);
    if (result.exit_code != 0)
    {
        throw std::runtime_error("apply: " + result.output);
    }
}

void wait_until_warm(test::fleet& nodes)
{
    const bool warm = test::eventually(
        [&]
        {
            for (std::size_t i = 0; i < engine_count; ++i)
            {
                const auto direct = test::send(
                    nodes.engine_address(i),
                    test::completion("agri-lm", "warm"));
                if (direct.status != 200)
                {
                    return false;
                }
            }
            return test::send(
                       nodes.router_address(0),
                       test::completion("agri-lm", "warm"))
                       .status == 200;
        });
    if (!warm)
    {
        throw std::runtime_error("never warm");
    }
}

void measure(const std::vector<double>& loads, bool with_baseline)
{
    test::fleet nodes(make_setup());
    publish_records(nodes);
    wait_until_warm(nodes);
    tools::load_target target;
    for (std::size_t i = 0; i < router_count; ++i)
    {
        target.routers.push_back(endpoint_of(nodes.router_address(i)));
    }
    tools::load_options options;
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        target.engines.push_back(endpoint_of(nodes.engine_address(i)));
    }
    options.max_in_flight = 10'000;
    print_figure("overload_real_saturation", saturation, "1/s");
    for (const double load : loads)
    {
        for (const auto kind : {discipline::dispatcher, discipline::fcfs})
        {
            if (kind == discipline::fcfs && !with_baseline)
            {
                continue;
            }
            char name[64];
            std::snprintf(
                name,
                sizeof(name),
                "overload_real_%gx_%s_",
                load,
                kind == discipline::fcfs ? "fcfs" : "dispatcher");
            const arrivals sent = make_arrivals(load, kind, name);
            tools::load_run run(options, target, sent.calls, name);
            const auto queued = read_totals(nodes, queue_metric);
            const auto first = read_totals(nodes, first_byte_metric);
            run.run();
            print_run(name, sent, run.results());
            print_engines(name, run.samples());
            const std::string prefix = name;
            print_means(
                prefix + "queued_", queued, read_totals(nodes, queue_metric));
            print_means(
                prefix + "first_byte_",
                first,
                read_totals(nodes, first_byte_metric));
        }
    }
}

} // namespace

/// @param argv Loads as multiples of saturation; without one, the four. With
///             `--dispatcher-only` first, the baseline isn't run.
int main(int argc, char** argv)
{
    try
    {
        std::vector<double> loads;
        const bool with_baseline =
            argc < 2 || std::string_view(argv[1]) != "--dispatcher-only";
        for (int i = with_baseline ? 1 : 2; i < argc; ++i)
        {
            loads.push_back(std::stod(argv[i]));
        }
        measure(
            loads.empty() ? std::vector{0.5, 1.0, 2.0, 4.0} : loads,
            with_baseline);
        return 0;
    }
    catch (const std::exception& error)
    {
        std::printf("# overload failed: %s\n", error.what());
        return 1;
    }
}
