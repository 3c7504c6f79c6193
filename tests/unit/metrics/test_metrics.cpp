#include "adapters/metrics/metrics_registry.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace
{

enum class colour
{
    red,
    blue
};

enum class shape
{
    round,
    square,
    flat
};

} // namespace

template <>
struct roseworks::metrics::label_traits<colour>
{
    static constexpr std::string_view name = "colour";
    static constexpr std::array<std::string_view, 2> values = {"red", "blue"};
};

template <>
struct roseworks::metrics::label_traits<shape>
{
    static constexpr std::string_view name = "shape";
    static constexpr std::array<std::string_view, 3> values = {
        "round", "square", "flat"};
};

namespace
{

using namespace roseworks::metrics;
using namespace std::chrono_literals;

std::string written(const metrics_registry& registry)
{
    std::ostringstream out;
    registry.write(out);
    return out.str();
}

/// @return The first line after the first that begins with `start`; empty if
///         there is none.
std::string find_line(const std::string& text, const std::string& start)
{
    const auto first = text.find('\n' + start);
    if (first == std::string::npos)
        return "";
    return text.substr(first + 1, text.find('\n', first + 1) - first - 1);
}

} // namespace

Test(metrics, writes_counters_and_gauges)
{
    metrics_registry registry;
    auto& things = registry.add_counter<colour, shape>("things_total", "A\nB.");
    auto& level = registry.add_gauge<>("level", "C\\D.");
    things.increment(colour::blue, shape::square);
    things.add(4, colour::blue, shape::square);
    things.increment(colour::red, shape::flat);
    level.set(5);
    level.add(-7);
    cr_expect(things.value(colour::blue, shape::square) == 5);
    cr_expect(
        written(registry) ==
        "# HELP things_total A\\nB.\n"
        "# TYPE things_total counter\n"
        "things_total{colour=\"red\",shape=\"round\"} 0\n"
        "things_total{colour=\"red\",shape=\"square\"} 0\n"
        "things_total{colour=\"red\",shape=\"flat\"} 1\n"
        "things_total{colour=\"blue\",shape=\"round\"} 0\n"
        "things_total{colour=\"blue\",shape=\"square\"} 5\n"
        "things_total{colour=\"blue\",shape=\"flat\"} 0\n"
        "# HELP level C\\\\D.\n"
        "# TYPE level gauge\n"
        "level -2\n");
}

Test(metrics, writes_latencies)
{
    metrics_registry registry;
    auto& wait = registry.add_latency<colour>("wait_seconds", "W.");
    wait.record(1us, colour::red);
    wait.record(250ms, colour::red);
    wait.record(1h, colour::red);
    const std::string text = written(registry);
    cr_expect(
        find_line(text, "wait_seconds_bucket{colour=\"red\",le=\"1e-05\"}")
            .ends_with(" 1"));
    cr_expect(find_line(text, "wait_seconds_bucket{colour=\"red\",le=\"600\"}")
                  .ends_with(" 2"));
    cr_expect(find_line(text, "wait_seconds_bucket{colour=\"red\",le=\"+Inf\"}")
                  .ends_with(" 3"));
    cr_expect(find_line(text, "wait_seconds_sum{colour=\"red\"}")
                  .ends_with(" 3600.250001"));
    cr_expect(
        find_line(text, "wait_seconds_count{colour=\"red\"}").ends_with(" 3"));
    cr_expect(
        find_line(text, "wait_seconds_count{colour=\"blue\"}").ends_with(" 0"));
}

Test(metrics, estimates_percentiles_within_a_bin)
{
    constexpr unsigned seed = 4711;
    constexpr double bin_width = 1.08;
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> seconds(-3, 2);
    latency_histogram histogram;
    std::vector<double> samples;
    for (int sample = 0; sample < 20'000; ++sample)
    {
        const double value = std::clamp(seconds(random), 1e-4, 500.0);
        samples.push_back(value);
        histogram.record(std::chrono::nanoseconds(std::llround(value * 1e9)));
    }
    std::ranges::sort(samples);
    for (const double percent : {1.0, 50.0, 90.0, 99.0, 99.9})
    {
        const auto rank =
            static_cast<std::size_t>(percent / 100 * samples.size());
        const double exact = samples[rank];
        const double found =
            histogram.percentile(percent).value().count() / 1e9;
        cr_expect(found < exact * bin_width && found > exact / bin_width);
    }
}

Test(metrics, percentiles_are_clamped_to_the_axis)
{
    latency_histogram histogram;
    cr_expect(!histogram.percentile(50).has_value());
    histogram.record(-5ms);
    cr_expect(histogram.percentile(50) == 10us);
    cr_expect(histogram.sum() == 0ns);
    for (int sample = 0; sample < 9; ++sample)
        histogram.record(1h);
    cr_expect(histogram.percentile(50) == 600s);
    cr_expect(histogram.percentile(200) == 600s);
    cr_expect(histogram.percentile(-1) == 10us);
    cr_expect(histogram.count() == 10);
}

Test(metrics, percentile_helper_accepts_any_histogram)
{
    auto histogram = boost::histogram::make_histogram(
        boost::histogram::axis::regular<>(10, 0, 100));
    for (int sample = 0; sample < 100; ++sample)
        histogram(sample + 0.5);
    cr_expect(std::abs(percentile(histogram, 25).value() - 25) < 1e-9);
    cr_expect(std::abs(percentile(histogram, 100).value() - 100) < 1e-9);
}

Test(metrics, counts_from_several_threads)
{
    constexpr int thread_count = 4;
    constexpr int rounds = 20'000;
    metrics_registry registry;
    auto& things = registry.add_counter<colour>("things_total", "T.");
    auto& wait = registry.add_latency<>("wait_seconds", "W.");
    std::vector<std::thread> threads;
    for (int thread = 0; thread < thread_count; ++thread)
    {
        threads.emplace_back(
            [&]
            {
                for (int round = 0; round < rounds; ++round)
                {
                    things.increment(colour::red);
                    wait.record(1ms);
                }
            });
    }
    // Metrics can be written while other threads record.
    for (int scrape = 0; scrape < 10; ++scrape)
        cr_expect(written(registry).ends_with("\n"));
    for (std::thread& thread : threads)
        thread.join();
    cr_expect(things.value(colour::red) == thread_count * rounds);
    cr_expect(wait.histogram().count() == thread_count * rounds);
    cr_expect(wait.histogram().sum() == thread_count * rounds * 1ms);
}
