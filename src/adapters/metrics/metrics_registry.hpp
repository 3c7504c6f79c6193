#pragma once

#include "adapters/metrics/counter.hpp"
#include "adapters/metrics/gauge.hpp"
#include "adapters/metrics/latency.hpp"
#include "adapters/metrics/metric.hpp"

#include <iosfwd>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace roseworks::metrics
{

/// Owns the metrics of a process and writes them for Prometheus. Metrics are
/// added at startup and live as long as the registry. After that any thread may
/// update them or write them out.
///
///     auto& requests = registry.add_counter<priority, outcome>(
///         "roseworks_requests_total", "Requests by priority and outcome.");
///     requests.increment(priority::urgent, outcome::answered);
class metrics_registry
{
public:
    /// @param name a Prometheus metric name, not yet in the registry.
    /// @param help one line of text.
    /// @return the metric, owned by the registry.
    template <typename... Labels>
    counter<Labels...>&
    add_counter(std::string_view name, std::string_view help)
    {
        return this->add<counter<Labels...>>(name, help);
    }

    /// Like `add_counter`, for a value that can go up and down.
    template <typename... Labels>
    gauge<Labels...>& add_gauge(std::string_view name, std::string_view help)
    {
        return this->add<gauge<Labels...>>(name, help);
    }

    /// Like `add_counter`, for latencies; the name should end in `_seconds`.
    template <typename... Labels>
    latency<Labels...>&
    add_latency(std::string_view name, std::string_view help)
    {
        return this->add<latency<Labels...>>(name, help);
    }

    /// Writes every metric in the Prometheus text format 0.0.4, in the order
    /// in which they were added.
    void write(std::ostream& out) const;

private:
    template <typename Metric>
    Metric& add(std::string_view name, std::string_view help)
    {
        auto owned = std::make_unique<Metric>(name, help);
        Metric& result = *owned;
        this->register_metric(std::move(owned));
        return result;
    }

    void register_metric(std::unique_ptr<metric> added);

    mutable std::mutex mutex;
    std::vector<std::unique_ptr<metric>> metrics;
};

} // namespace roseworks::metrics
