#pragma once

#include "adapters/edge/receive_limit_labels.hpp"
#include "adapters/edge/traffic_observer.hpp"
#include "adapters/metrics/metrics_registry.hpp"
#include "core/hedging/hedge_policy.hpp"
#include "core/origins/stream_origin.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace roseworks::forward
{

/// How a request ended for its caller.
enum class request_end : std::uint8_t
{
    passed_on,   ///< a backend server's complete response was forwarded
    refused,     ///< the request did not run, and the response says so
    failed,      ///< the request may have run, without a complete response
    broken_off,  ///< the response had begun and was truncated
    caller_left, ///< the caller closed its connection
    turned_away  ///< the request itself was invalid
};

/// Whether a request waited before it was first sent.
enum class admission : std::uint8_t
{
    at_once,
    waited
};

/// What a backend server states about itself in a response.
enum class notice_kind : std::uint8_t
{
    leaving, ///< it is about to end
    pause    ///< it wants no requests for a while
};

/// How a hedge ended.
enum class hedge_end : std::uint8_t
{
    won,   ///< it answered the request
    lost,  ///< the first attempt answered
    failed ///< it ended without output
};

} // namespace roseworks::forward

namespace roseworks::metrics
{

template <>
struct label_traits<forward::request_end>
{
    static constexpr std::string_view name = "end";
    static constexpr std::array<std::string_view, 6> values = {
        "passed_on",
        "refused",
        "failed",
        "broken_off",
        "caller_left",
        "turned_away"};
};

template <>
struct label_traits<origin_source>
{
    static constexpr std::string_view name = "source";
    static constexpr std::array<std::string_view, 4> values = {
        to_string(origin_source::unknown),
        to_string(origin_source::own_record),
        to_string(origin_source::router),
        to_string(origin_source::only_version)};
};

template <>
struct label_traits<forward::hedge_end>
{
    static constexpr std::string_view name = "end";
    static constexpr std::array<std::string_view, 3> values = {
        "won", "lost", "failed"};
};

template <>
struct label_traits<hedge_limit>
{
    static constexpr std::string_view name = "limit";
    static constexpr std::array<std::string_view, 10> values = {
        "none",
        "not_repeatable",
        "output_begun",
        "attempts",
        "suspected",
        "samples",
        "rejections",
        "no_server",
        "shared_budget",
        "retry_budget"};
};

template <>
struct label_traits<forward::notice_kind>
{
    static constexpr std::string_view name = "notice";
    static constexpr std::array<std::string_view, 2> values = {
        "leaving", "pause"};
};

template <>
struct label_traits<forward::admission>
{
    static constexpr std::string_view name = "admission";
    static constexpr std::array<std::string_view, 2> values = {
        "at_once", "waited"};
};

} // namespace roseworks::metrics

namespace roseworks::forward
{

/// Counters and latencies of forwarding. Thread-safe.
struct forward_metrics final : edge::traffic_observer
{
    explicit forward_metrics(metrics::metrics_registry& registry);

    void request_finished(const edge::finished_request&) override {}

    void stream_opened() override {}

    void stream_closed() override {}

    void late_answer_dropped() override
    {
        this->late_answers.increment();
    }

    void connection_silent(std::string_view) override
    {
        this->silent_connections.increment();
    }

    void caller_limit_met(receive_limit limit, std::uint64_t times) override
    {
        this->limits_met.add(times, limit);
    }

    void caller_connected() override
    {
        this->connections.add(1);
    }

    void caller_disconnected() override
    {
        this->connections.add(-1);
    }

    metrics::counter<request_end>& requests;
    metrics::counter<>& retries;
    metrics::counter<>& retries_denied;
    metrics::counter<>& hedges_sent;
    metrics::counter<hedge_end>& hedges;
    metrics::counter<hedge_limit>& hedges_refused;
    metrics::counter<>& hedge_tokens;       ///< of closed attempts
    metrics::counter<notice_kind>& notices; ///< of backend servers
    metrics::counter<>& requests_withheld;
    metrics::counter<>& relayed_connections;
    metrics::counter<origin_source>& origins; ///< of streams taken up
    metrics::counter<>& late_answers;
    metrics::counter<>& silent_connections;
    metrics::counter<receive_limit>& limits_met; ///< by callers
    metrics::gauge<>& connections;
    metrics::latency<admission>& first_byte;
    metrics::latency<>& queue_wait;
};

/// @return The value of the metric's label, for events.
std::string_view to_string(request_end end);

} // namespace roseworks::forward
