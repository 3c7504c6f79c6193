#pragma once

#include "adapters/edge/request_target.hpp"
#include "core/admission/receive_budget.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <cstdint>
#include <string_view>

namespace roseworks::edge
{

/// The outcome of one request, for metrics.
struct finished_request
{
    route_kind kind = route_kind::healthz;
    priority requested_priority = priority::normal;
    bool parsed = true;  ///< false: malformed, `kind` is not meaningful
    unsigned status = 0; ///< 0: the caller left before the response began
    verdict outcome = verdict::answered;
    refusal_reason reason = refusal_reason::none;
    duration queue_wait{}; ///< until the first grant
    duration first_byte{}; ///< of the last attempt; 0: none arrived
    duration total{}; ///< from the end of the head to the end of the response
    std::uint32_t attempts = 0; ///< sent to backend servers
    std::uint32_t tokens = 0;
    bool caller_left = false;
    bool replayed = false; ///< a stored response was sent
};

/// Port: receives events of the edge for metrics. Called from every traffic
/// thread; must not block.
class traffic_observer
{
public:
    virtual ~traffic_observer() = default;

    virtual void request_finished(const finished_request& request) = 0;

    /// Called when a streamed response begins and when it ends.
    virtual void stream_opened() = 0;
    virtual void stream_closed() = 0;

    /// A response of a backend server did not match the request and was
    /// dropped.
    virtual void late_answer_dropped() = 0;

    /// Older connections to an address were silent while a newer one delivered
    /// a response.
    virtual void connection_silent(std::string_view address) = 0;

    /// Callers met a limit this often.
    virtual void caller_limit_met(receive_limit limit, std::uint64_t times) = 0;

    virtual void caller_connected() = 0;
    virtual void caller_disconnected() = 0;
};

} // namespace roseworks::edge
