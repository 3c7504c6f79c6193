#include "adapters/edge/call_problem.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace roseworks::edge
{

namespace
{

struct status_and_title
{
    unsigned status;
    std::string_view title;
};

status_and_title describe(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::none:
        return {500, "No answer"};
    case refusal_reason::bad_request:
        return {400, "Bad request"};
    case refusal_reason::unknown_servable:
        return {404, "Unknown model"};
    case refusal_reason::unknown_service:
        return {404, "Unknown service"};
    case refusal_reason::deadline:
        return {503, "Deadline cannot be met"};
    case refusal_reason::queue_full:
        return {503, "Queue full"};
    case refusal_reason::displaced:
        return {503, "Displaced by more urgent work"};
    case refusal_reason::caller_limit:
        return {429, "Caller's limit reached"};
    case refusal_reason::no_capacity:
        return {503, "No capacity"};
    case refusal_reason::log_unavailable:
        return {503, "Log unavailable"};
    case refusal_reason::claim_held:
        return {409, "Idempotency key in use"};
    case refusal_reason::claim_expired:
        return {409, "Idempotency key expired"};
    case refusal_reason::blocked:
        return {422, "Request blocked"};
    case refusal_reason::draining:
        return {503, "Router shutting down"};
    case refusal_reason::backend_failed:
        return {502, "Backend server failed"};
    case refusal_reason::backend_timeout:
        return {504, "Backend server made no progress"};
    case refusal_reason::retries_exhausted:
        return {503, "Retries exhausted"};
    case refusal_reason::stream_cut:
        return {502, "Stream cut"};
    case refusal_reason::key_reused:
        return {422, "Idempotency key reused with other content"};
    case refusal_reason::unknown_key:
        return {401, "Unknown API key"};
    case refusal_reason::organisation_limit:
        return {429, "Organisation's limit reached"};
    case refusal_reason::unknown_origin:
        return {503, "Origin of the stream not known"};
    case refusal_reason::outdated:
        return {503, "Configuration not known here yet"};
    }
    return {500, "No answer"};
}

std::string_view client_error_title(unsigned status)
{
    switch (status)
    {
    case 404:
        return "Not found";
    case 405:
        return "Method not allowed";
    case 408:
        return "Request timeout";
    case 413:
        return "Body too large";
    case 417:
        return "Expectation failed";
    case 431:
        return "Header too large";
    default:
        return "Bad request";
    }
}

boost::json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Rounds up, so that a wait of less than 1 ms is not reported as 0.
std::int64_t whole_milliseconds(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value).count();
}

} // namespace

call_problem client_error(std::string detail, unsigned status)
{
    call_problem problem;
    problem.status = status;
    problem.title = client_error_title(status);
    problem.detail = std::move(detail);
    return problem;
}

call_problem
make_problem(refusal_reason reason, verdict outcome, duration retry_after)
{
    const status_and_title text = describe(reason);
    call_problem problem;
    problem.status = text.status;
    problem.outcome = outcome;
    problem.reason = reason;
    problem.title = text.title;
    problem.retry_after = retry_after;
    const bool late = reason == refusal_reason::deadline;
    if (late && outcome != verdict::not_run)
        problem.status = 504;
    return problem;
}

std::string
to_problem_json(const call_problem& problem, std::string_view request_id)
{
    boost::json::object document;
    document["type"] = "about:blank";
    document["title"] = problem.title;
    document["status"] = problem.status;
    document["verdict"] = view(to_string(problem.outcome));
    document["reason"] = view(to_string(problem.reason));
    if (!problem.detail.empty())
        document["detail"] = problem.detail;
    if (problem.retry_after > duration::zero())
        document["retry_after_ms"] = whole_milliseconds(problem.retry_after);
    if (!problem.holder.empty())
        document["holder"] = problem.holder;
    document["request_id"] = view(request_id);
    return boost::json::serialize(document);
}

} // namespace roseworks::edge
