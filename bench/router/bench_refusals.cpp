/** Refusals in time, with real processes on loopback: callers plan four times
    what one engine can serve (and offer less while they wait), each with a
   deadline. Printed are the shares answered and refused, the refusals that came
   after the deadline, and how late the latest was.
*/
#include "bench/router/figures.hpp"
#include "tests/support/calls.hpp"
#include "tests/support/fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <mutex>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace roseworks;
using namespace roseworks::bench;

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::size_t fleet_size = 3;
constexpr std::size_t callers = 240;
/// Four slots, ten tokens of 20 ms.
constexpr double capacity = 20;
constexpr double offered = 4 * capacity;
constexpr double measured_seconds = 15;
constexpr double to_ms = 1000;
constexpr double percent = 100;
constexpr int deadlines_ms[] = {500, 1000, 2000};

/// What became of the calls.
struct call_counts
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t late_refusals = 0;
    std::size_t unanswered = 0;
    double latest_ms = -1e9; ///< of refusals, past the deadline
};

test::http_call planned_call(int deadline_ms, std::size_t number)
{
    auto call = test::completion("agri-lm", "load");
    call.body = R"({"model":"agri-lm","max_tokens":10,)"
                R"("messages":[{"role":"user","content":"load )" +
                std::to_string(number) + R"("}]})";
    call.headers["X-Deadline-Ms"] = std::to_string(deadline_ms);
    call.headers["X-Caller"] = number % 4 == 0 ? "field" : "night";
    return call;
}

void note(call_counts& counts, const test::http_reply& reply, double past_ms)
{
    ++counts.sent;
    if (reply.status == 0)
        ++counts.unanswered;
    else if (reply.status == 200)
        ++counts.answered;
    else
    {
        ++counts.refused;
        counts.late_refusals += past_ms > 0 ? 1 : 0;
        counts.latest_ms = std::max(counts.latest_ms, past_ms);
    }
}

call_counts offer(const test::fleet& nodes)
{
    call_counts counts;
    std::mutex guard;
    std::vector<std::jthread> threads;
    const auto start = clock::now();
    for (std::size_t caller = 0; caller < callers; ++caller)
    {
        threads.emplace_back(
            [&, caller]
            {
                std::mt19937_64 random(caller);
                std::exponential_distribution<double> gap(offered / callers);
                while (true)
                {
                    std::this_thread::sleep_for(
                        std::chrono::duration<double>(gap(random)));
                    if (seconds_since(start) > measured_seconds)
                        return;
                    const int deadline =
                        deadlines_ms[random() % std::size(deadlines_ms)];
                    const auto call = planned_call(deadline, caller);
                    const auto sent = clock::now();
                    const auto reply = test::send(
                        nodes.router_address(random() % fleet_size), call);
                    const double past = seconds_since(sent) * to_ms - deadline;
                    const std::scoped_lock lock(guard);
                    note(counts, reply, past);
                }
            });
    }
    threads.clear();
    return counts;
}

void print(const call_counts& counts)
{
    const auto sent = static_cast<double>(counts.sent);
    const auto refused = static_cast<double>(counts.refused);
    const auto late = static_cast<double>(counts.late_refusals);
    print_figure("offered", sent / measured_seconds, "calls/s");
    print_figure(
        "answered",
        static_cast<double>(counts.answered) / measured_seconds,
        "calls/s");
    print_figure("refused", percent * refused / sent, "percent");
    print_figure(
        "refused_in_time",
        counts.refused == 0 ? percent : percent * (refused - late) / refused,
        "percent");
    print_figure("refused_late", late, "calls");
    print_figure("latest_refusal_past_deadline", counts.latest_ms, "ms");
    print_figure("unanswered", static_cast<double>(counts.unanswered), "calls");
}

} // namespace

int main()
{
    try
    {
        test::fleet_setup setup;
        setup.routers = fleet_size;
        setup.engines = {
            {"e1", 40000, true, {"--token-ms", "20", "--slots", "4"}}};
        test::fleet nodes(std::move(setup));
        const auto applied = nodes.apply(
            "[model agri-lm]\nmemory_mib = 16000\nmin_replicas = 1\n"
            "max_replicas = 1\nmax_streams = 4\n"
            "[caller field]\nclass = urgent\n[caller night]\nclass = batch\n");
        if (applied.exit_code != 0 || !nodes.wait_ready())
            throw std::runtime_error("no fleet: " + applied.output);
        const bool warm = test::eventually(
            [&]
            {
                return test::send(
                           nodes.router_address(0),
                           test::completion("agri-lm", "warm"))
                           .status == 200;
            });
        if (!warm)
            throw std::runtime_error("the model isn't served");
        print(offer(nodes));
        return 0;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "bench_refusals: %s\n", error.what());
        return 1;
    }
}
