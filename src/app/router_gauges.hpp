#pragma once

#include "adapters/metrics/metrics_registry.hpp"
#include "app/budget_meter.hpp"
#include "app/control_loop.hpp"

#include <roseworks/record.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace roseworks::metrics
{

template <>
struct label_traits<replica_state>
{
    static constexpr std::string_view name = "state";
    static constexpr std::array<std::string_view, 7> values = {
        "decided",
        "loading",
        "ready",
        "draining",
        "unloading",
        "failed",
        "gone"};
};

} // namespace roseworks::metrics

namespace roseworks::app
{

/// What control has a budget of.
enum class control_resource : std::uint8_t
{
    processor,
    bytes,
    memory
};

} // namespace roseworks::app

namespace roseworks::metrics
{

template <>
struct label_traits<app::control_resource>
{
    static constexpr std::string_view name = "resource";
    static constexpr std::array<std::string_view, 3> values = {
        "processor", "bytes", "memory"};
};

} // namespace roseworks::metrics

namespace roseworks::app
{

/// Figures of the process and its control thread that aren't counted as they
/// happen but looked up when the metrics are read.
class router_gauges
{
public:
    explicit router_gauges(metrics::metrics_registry& registry);

    /// Takes over what the control loop knows. On the control thread.
    void update(const control_loop& loop);

    /// What any thread can look up.
    struct process_figures
    {
        std::uint64_t queued = 0;
        std::uint64_t in_flight = 0;
        std::uint64_t control_cpu_us = 0;
        std::uint64_t control_bytes_sent = 0;
        std::uint64_t control_bytes_received = 0;
    };

    void update(const process_figures& figures);

    /// Takes a reading of what control uses, when one is due. On the control
    /// thread.
    void meter(const process_figures& figures, instant now);

private:
    void update_grants(const fleet_state& state);

    metrics::gauge<>& folded;
    metrics::gauge<>& lag;
    metrics::gauge<>& available;
    metrics::gauge<>& servables;
    metrics::gauge<replica_state>& replicas;
    metrics::gauge<>& residents;
    metrics::gauge<>& idle_seconds;
    metrics::gauge<>& accepted;
    metrics::gauge<>& rejected;
    metrics::gauge<>& duplicate;
    metrics::gauge<>& appends;
    metrics::gauge<>& append_bytes;
    metrics::gauge<>& appends_lost;
    metrics::gauge<>& orders;
    metrics::gauge<>& orders_lost;
    metrics::gauge<>& granted_memory;
    metrics::gauge<>& granted_models;
    metrics::gauge<>& granted_orders;
    metrics::gauge<>& tables;
    metrics::gauge<>& queued;
    metrics::gauge<>& in_flight;
    metrics::gauge<>& control_cpu;
    metrics::gauge<>& control_sent;
    metrics::gauge<>& control_received;
    metrics::gauge<>& resident_bytes;
    metrics::gauge<control_resource>& budget_used;
    budget_meter budget;
    std::uint64_t counted_changes = 0; ///< when servables were counted last
};

} // namespace roseworks::app
