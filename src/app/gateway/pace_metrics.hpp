#pragma once

#include "adapters/metrics/metrics_registry.hpp"
#include "core/pace/pace_class.hpp"

#include <array>
#include <string_view>

namespace roseworks::metrics
{

template <>
struct label_traits<pace_class>
{
    static constexpr std::string_view name = "pace";
    static constexpr std::array<std::string_view, 3> values = {
        to_string(pace_class::fast),
        to_string(pace_class::usual),
        to_string(pace_class::slow)};
};

} // namespace roseworks::metrics

namespace roseworks::app
{

/// Number of engines by their estimated pace. Thread-safe.
struct pace_metrics
{
    explicit pace_metrics(metrics::metrics_registry& registry)
        : engines(registry.add_gauge<pace_class>(
              "roseworks_engines_by_pace",
              "Engines by their estimated pace, at the owner of placement."))
    {
    }

    metrics::gauge<pace_class>& engines;
};

} // namespace roseworks::app
