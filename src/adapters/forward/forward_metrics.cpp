#include "adapters/forward/forward_metrics.hpp"

#include <cstddef>

namespace roseworks::forward
{

forward_metrics::forward_metrics(metrics::metrics_registry& registry)
    : requests(registry.add_counter<request_end>(
          "roseworks_forwarded_requests_total",
          "Callers' requests by how they ended."))
    , retries(registry.add_counter<>(
          "roseworks_forward_retries_total",
          "Requests sent to a backend server once more."))
    , retries_denied(registry.add_counter<>(
          "roseworks_forward_retries_denied_total",
          "Retries that the shared budget didn't allow."))
    , hedges_sent(registry.add_counter<>(
          "roseworks_hedges_sent_total",
          "Second attempts sent beside a late first one."))
    , hedges(registry.add_counter<hedge_end>(
          "roseworks_hedges_total", "Second attempts by how they ended."))
    , hedges_refused(registry.add_counter<hedge_limit>(
          "roseworks_hedges_refused_total",
          "Requests that got no second attempt, by the limit that refused it."))
    , hedge_tokens(registry.add_counter<>(
          "roseworks_hedge_tokens_total",
          "Tokens that attempts closed for another one may have cost at most, "
          "where the caller stated them."))
    , notices(registry.add_counter<notice_kind>(
          "roseworks_server_notices_total",
          "Responses in which a backend server says that it leaves, or asks "
          "for a pause."))
    , requests_withheld(registry.add_counter<>(
          "roseworks_requests_withheld_total",
          "Attempts that ended before the first byte was sent, since the "
          "server takes no requests any more."))
    , relayed_connections(registry.add_counter<>(
          "roseworks_relayed_connections_total",
          "Connections to backend servers opened through another router."))
    , origins(registry.add_counter<origin_source>(
          "roseworks_stream_origins_total",
          "Streams that callers took up, by how their origin was known."))
    , late_answers(registry.add_counter<>(
          "roseworks_late_answers_total",
          "Answers of backend servers that belonged to no request."))
    , silent_connections(registry.add_counter<>(
          "roseworks_silent_connections_total",
          "Kept connections that went silent while a new one answered."))
    , limits_met(registry.add_counter<receive_limit>(
          "roseworks_caller_limits_met_total",
          "Requests and connections of callers that met a limit, by limit."))
    , connections(registry.add_gauge<>(
          "roseworks_caller_connections", "Callers' open connections."))
    , first_byte(registry.add_latency<admission>(
          "roseworks_forward_first_byte_seconds",
          "From a request's arrival to the first byte of its answer."))
    , queue_wait(registry.add_latency<>(
          "roseworks_forward_queue_wait_seconds",
          "From a request's arrival to its first sending."))
{
}

std::string_view to_string(request_end end)
{
    return metrics::label_traits<request_end>::values[static_cast<std::size_t>(
        end)];
}

} // namespace roseworks::forward
