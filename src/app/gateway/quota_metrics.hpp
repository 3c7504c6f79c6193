#pragma once

#include "adapters/metrics/metrics_registry.hpp"
#include "core/quota/urgency_class.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace roseworks::app
{

/// A class of `urgency`, as a label.
enum class urgency_label : std::uint8_t
{
    urgent = urgency::urgent,
    normal = urgency::normal,
    deferrable = urgency::deferrable
};

enum class quota_outcome : std::uint8_t
{
    allowed,
    refused
};

} // namespace roseworks::app

namespace roseworks::metrics
{

template <>
struct label_traits<app::urgency_label>
{
    static constexpr std::string_view name = "class";
    static constexpr std::array<std::string_view, urgency::class_count> values =
        {"urgent", "normal", "deferrable"};
};

template <>
struct label_traits<app::quota_outcome>
{
    static constexpr std::string_view name = "outcome";
    static constexpr std::array<std::string_view, 2> values = {
        "allowed", "refused"};
};

} // namespace roseworks::metrics

namespace roseworks::app
{

/// Counts the usage of all organisations that this router decides on for the
/// routers that report to it. Thread-safe.
class quota_metrics
{
public:
    explicit quota_metrics(metrics::metrics_registry& registry)
        : usage(registry.add_counter<urgency_label, quota_outcome>(
              "roseworks_quota_usage_total",
              "Usage that this router as the accountant allowed or refused to "
              "organisations with a limit, by class."))
    {
    }

    void add(std::uint8_t urgency, double allowed, double refused)
    {
        const auto label = static_cast<urgency_label>(urgency);
        this->usage.add(
            static_cast<std::uint64_t>(allowed), label, quota_outcome::allowed);
        this->usage.add(
            static_cast<std::uint64_t>(refused), label, quota_outcome::refused);
    }

private:
    metrics::counter<urgency_label, quota_outcome>& usage;
};

} // namespace roseworks::app
