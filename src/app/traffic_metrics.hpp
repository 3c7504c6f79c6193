#pragma once

#include "adapters/edge/receive_limit_labels.hpp"
#include "adapters/edge/traffic_observer.hpp"
#include "adapters/metrics/metrics_registry.hpp"

#include <roseworks/verdict.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace roseworks::app
{

/// What became of a request, for metrics.
enum class request_end : std::uint8_t
{
    answered,
    not_run,
    may_have_run,
    caller_left
};

} // namespace roseworks::app

namespace roseworks::metrics
{

template <>
struct label_traits<priority>
{
    static constexpr std::string_view name = "priority";
    static constexpr std::array<std::string_view, 3> values = {
        "urgent", "normal", "batch"};
};

template <>
struct label_traits<app::request_end>
{
    static constexpr std::string_view name = "end";
    static constexpr std::array<std::string_view, 4> values = {
        "answered", "not_run", "may_have_run", "caller_left"};
};

template <>
struct label_traits<refusal_reason>
{
    static constexpr std::string_view name = "reason";
    static constexpr std::array<std::string_view, 23> values = {
        to_string(refusal_reason::none),
        to_string(refusal_reason::bad_request),
        to_string(refusal_reason::unknown_servable),
        to_string(refusal_reason::unknown_service),
        to_string(refusal_reason::deadline),
        to_string(refusal_reason::queue_full),
        to_string(refusal_reason::displaced),
        to_string(refusal_reason::caller_limit),
        to_string(refusal_reason::no_capacity),
        to_string(refusal_reason::log_unavailable),
        to_string(refusal_reason::claim_held),
        to_string(refusal_reason::claim_expired),
        to_string(refusal_reason::blocked),
        to_string(refusal_reason::draining),
        to_string(refusal_reason::backend_failed),
        to_string(refusal_reason::backend_timeout),
        to_string(refusal_reason::retries_exhausted),
        to_string(refusal_reason::stream_cut),
        to_string(refusal_reason::key_reused),
        to_string(refusal_reason::unknown_key),
        to_string(refusal_reason::organisation_limit),
        to_string(refusal_reason::unknown_origin),
        to_string(refusal_reason::outdated)};
};

} // namespace roseworks::metrics

namespace roseworks::app
{

/// Counts what the edge does. Thread-safe.
class traffic_metrics final : public edge::traffic_observer
{
public:
    explicit traffic_metrics(metrics::metrics_registry& registry);

    void request_finished(const edge::finished_request& request) override;
    void stream_opened() override;
    void stream_closed() override;
    void late_answer_dropped() override;
    void connection_silent(std::string_view address) override;
    void caller_limit_met(receive_limit limit, std::uint64_t times) override;
    void caller_connected() override;
    void caller_disconnected() override;

private:
    metrics::counter<priority, request_end>& requests;
    metrics::counter<refusal_reason>& refusals;
    metrics::counter<>& retries;
    metrics::counter<>& tokens;
    metrics::counter<>& late_answers;
    metrics::counter<>& silent_connections;
    metrics::counter<receive_limit>& limits_met; ///< by callers
    metrics::gauge<>& streams;
    metrics::gauge<>& callers;
    metrics::latency<priority>& queue_wait;
    metrics::latency<priority>& first_byte;
    metrics::latency<priority>& total;
};

} // namespace roseworks::app
