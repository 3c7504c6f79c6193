#pragma once

#include "adapters/edge/backend_context.hpp"
#include "adapters/edge/connection_opener.hpp"
#include "adapters/forward/forward_metrics.hpp"
#include "adapters/forward/header_names.hpp"
#include "core/admission/load_guard.hpp"
#include "core/crashes/request_gate.hpp"
#include "core/crashes/server_life.hpp"
#include "core/hedging/hedge_policy.hpp"
#include "core/pace/stream_timer.hpp"
#include "core/pacing/server_notice.hpp"
#include "core/serving/serving_table.hpp"
#include "ports/crash_port.hpp"
#include "ports/dispatch_port.hpp"
#include "ports/origin_port.hpp"
#include "ports/quota_port.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace roseworks::forward
{

/// Limits of forwarding. `edge::edge_options` has those of connections.
struct forward_options
{
    /// Responses up to this size are read completely before the first byte is
    /// forwarded, so that a broken one is detected before the caller sees it.
    /// Event streams are not buffered.
    std::size_t max_buffered_bytes = std::size_t(256) << 10;
    /// Largest event of a stream.
    std::size_t max_event_bytes = std::size_t(256) << 10;
    /// Most bytes between two events of a stream, comments and empty lines
    /// included. A server in trouble may send them without end, as it may any
    /// others.
    std::size_t max_bytes_without_event = std::size_t(512) << 10;
    std::size_t max_stream_bytes = std::size_t(32) << 20; ///< from one server
    /// Largest body of any other response.
    std::size_t max_body_bytes = std::size_t(8) << 20;
    /// Largest body of a response to another request, which is skipped.
    std::size_t max_skipped_bytes = std::size_t(256) << 10;
    /// Subtracted from the time limit, so that the response can still reach the
    /// caller in time. At most a tenth of the time limit is subtracted.
    std::chrono::milliseconds response_margin{20};
    /// Deadline of a request if neither the caller nor the route sets one.
    std::chrono::milliseconds default_deadline{60'000};
    /// Pause after an engine refused a request, until the serving table no
    /// longer lists the engine for the model.
    std::chrono::milliseconds refusal_pause{5};
    /// A request may wait for its organisation's limit for the route's
    /// objective divided by this number.
    int quota_wait_divisor = 4;
    /// Whether the rank of a route orders an organisation's requests in the
    /// admission queue. If not, only the organisation's rank does.
    bool order_by_route_rank = false;
    /// The window over which organisations' usage is summed, if their limits go
    /// to urgent requests first; 0: they don't.
    duration urgency_window{};
    /// Bounds of callers' connections.
    load_guard::options load;
    /// Interval between measurements of the event loop's delay.
    std::chrono::milliseconds delay_interval{50};
    /// Retry-After while this router has no configuration or an outdated one.
    std::chrono::milliseconds outdated_retry_after{500};
    std::uint64_t seed = 1; ///< of the choice among a route's services
    /// Hedges of a service, as a share of its requests; 0: none.
    double hedge_share = 0;
};

/// What forwarding depends on. All of it has to outlive the event loop.
struct forward_dependencies
{
    dispatch_port& dispatch;
    quota_port& quotas;
    crash_port& crashes;
    origin_port& origins;
    edge::connection_opener& connections;
    std::function<serving_table_ptr()> table; ///< newest; null: none yet
    /// An engine reported its load in a response.
    std::function<void(const load_report&)> load_reported;
    /// An attempt of a request for a servable on an engine begins or has ended.
    std::function<void(const std::string& servable, const std::string& engine)>
        run_started;
    std::function<void(const std::string& servable, const std::string& engine)>
        run_ended;
    /// An engine refused a request for a servable that the serving table lists
    /// on it.
    std::function<void(const std::string& servable, const std::string& engine)>
        run_refused;
    /// No connection to a server could be opened.
    std::function<void(const std::string& server)> connect_failed;
    /// A server responded.
    /// @param sent When the request was sent.
    std::function<void(
        const server_identity& server,
        const server_notice& notice,
        instant sent)>
        response_received;
    /// Whether other routers have a newer configuration than the table's. What
    /// the table lacks may be defined there.
    std::function<bool()> is_outdated;
    /// The time between the events of a stream from an engine was measured.
    /// Null: nobody needs it.
    std::function<void(
        const std::string& servable, server_life run, const stream_timer&)>
        stream_measured = nullptr;
};

/// Shared by all connections of one traffic thread. Used only on that thread.
struct forward_context : edge::backend_context
{
    forward_context(
        const edge::backend_context& base_context,
        forward_options chosen_options,
        header_names used_headers,
        forward_dependencies ports_used,
        forward_metrics& shared_metrics)
        : edge::backend_context(base_context)
        , settings(chosen_options)
        , names(std::move(used_headers))
        , ports(std::move(ports_used))
        , metrics(shared_metrics)
        , random(chosen_options.seed)
        , gate({.seed = chosen_options.seed})
        , hedges(chosen_options.hedge_share)
    {
    }

    const forward_options settings;
    const header_names names;
    const forward_dependencies ports;
    forward_metrics& metrics;
    std::mt19937_64 random;
    request_gate gate;
    hedge_policy hedges;
    /// Parts of prompts that were answered well of late.
    recent_answers good_parts{4096, std::chrono::seconds(20)};
    /// Whether this process ends.
    bool draining = false;
    /// Whether requests are still sent to servers. Not when the process ends
    /// before they could answer.
    bool sends_requests = true;
    /// Whether this router has more connections than it keeps.
    bool sheds_connections = false;

    /// @return Whether connections are closed after their response.
    bool closes_connections() const
    {
        return this->draining || this->sheds_connections;
    }
};

} // namespace roseworks::forward
