#include "app/traffic_metrics.hpp"

namespace roseworks::app
{

namespace
{

request_end end_of(const edge::finished_request& request)
{
    if (request.caller_left)
        return request_end::caller_left;
    switch (request.outcome)
    {
    case verdict::answered:
        return request_end::answered;
    case verdict::not_run:
        return request_end::not_run;
    case verdict::may_have_run:
        return request_end::may_have_run;
    }
    return request_end::may_have_run;
}

bool is_work(edge::route_kind kind)
{
    return kind == edge::route_kind::chat ||
           kind == edge::route_kind::completion ||
           kind == edge::route_kind::service;
}

} // namespace

traffic_metrics::traffic_metrics(metrics::metrics_registry& registry)
    : requests(registry.add_counter<priority, request_end>(
          "roseworks_requests_total", "Requests by priority and end."))
    , refusals(registry.add_counter<refusal_reason>(
          "roseworks_refusals_total", "Requests without an answer by reason."))
    , retries(registry.add_counter(
          "roseworks_retries_total", "Attempts beyond a request's first."))
    , tokens(registry.add_counter(
          "roseworks_tokens_total", "Tokens passed to callers."))
    , late_answers(registry.add_counter(
          "roseworks_late_answers_total", "Answers to no request, dropped."))
    , silent_connections(registry.add_counter(
          "roseworks_silent_connections_total",
          "Connections that went silent while new ones worked."))
    , limits_met(registry.add_counter<receive_limit>(
          "roseworks_caller_limits_met_total",
          "Requests and connections of callers that met a limit, by limit."))
    , streams(
          registry.add_gauge("roseworks_streams", "Answers being streamed."))
    , callers(registry.add_gauge(
          "roseworks_caller_connections", "Open connections of callers."))
    , queue_wait(registry.add_latency<priority>(
          "roseworks_queue_wait_seconds", "Time until the first grant."))
    , first_byte(registry.add_latency<priority>(
          "roseworks_first_byte_seconds",
          "Time from sending to the answer's first byte."))
    , total(registry.add_latency<priority>(
          "roseworks_request_seconds",
          "Time from a request's head to its end."))
{
}

void traffic_metrics::request_finished(const edge::finished_request& request)
{
    if (!is_work(request.kind))
        return;
    this->requests.increment(request.requested_priority, end_of(request));
    if (request.reason != refusal_reason::none)
        this->refusals.increment(request.reason);
    if (request.attempts > 1)
        this->retries.add(request.attempts - 1);
    this->tokens.add(request.tokens);
    this->total.record(request.total, request.requested_priority);
    if (request.attempts == 0)
        return;
    this->queue_wait.record(request.queue_wait, request.requested_priority);
    if (request.first_byte > duration::zero())
        this->first_byte.record(request.first_byte, request.requested_priority);
}

void traffic_metrics::stream_opened()
{
    this->streams.add(1);
}

void traffic_metrics::stream_closed()
{
    this->streams.add(-1);
}

void traffic_metrics::late_answer_dropped()
{
    this->late_answers.increment();
}

void traffic_metrics::caller_limit_met(receive_limit limit, std::uint64_t times)
{
    this->limits_met.add(times, limit);
}

void traffic_metrics::connection_silent(std::string_view)
{
    this->silent_connections.increment();
}

void traffic_metrics::caller_connected()
{
    this->callers.add(1);
}

void traffic_metrics::caller_disconnected()
{
    this->callers.add(-1);
}

} // namespace roseworks::app
