#pragma once

#include "adapters/edge/request_target.hpp"

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <cstdint>
#include <string_view>

namespace roseworks::edge
{

/// One finished request, for metrics.
struct finished_request
{
    route_kind kind = route_kind::healthz;
    priority asked = priority::normal;
    bool understood = true; ///< false: malformed, `kind` means nothing
    unsigned status = 0;    ///< 0: the caller left before an answer began
    verdict outcome = verdict::answered;
    refusal_reason reason = refusal_reason::none;
    duration queue_wait{};      ///< until the first grant
    duration first_byte{};      ///< of the last attempt; 0: none came
    duration total{};           ///< from the whole head to the answer's end
    std::uint32_t attempts = 0; ///< sent to backend servers
    std::uint32_t tokens = 0;
    bool caller_left = false;
    bool replayed = false; ///< a stored answer was given
};

/// Port: counts what the edge does. Called from every traffic thread; must
/// not block.
class traffic_observer
{
public:
    virtual ~traffic_observer() = default;

    virtual void request_finished(const finished_request& request) = 0;

    /// An answer is being streamed, or no longer.
    virtual void stream_opened() = 0;
    virtual void stream_closed() = 0;

    /// A backend server's answer belonged to no request and was dropped.
    virtual void late_answer_dropped() = 0;

    /// Connections to an address went silent while a new one answered.
    virtual void connection_silent(std::string_view address) = 0;

    virtual void caller_connected() = 0;
    virtual void caller_disconnected() = 0;
};

} // namespace roseworks::edge
