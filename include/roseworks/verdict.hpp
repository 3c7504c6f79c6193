#pragma once

#include <cstdint>
#include <string_view>

namespace roseworks
{

/** Whether a request may have run on a backend server.

    Returned by all code that calls a backend server. `not_run` is a guarantee:
    it is returned only if no byte of the request can have reached a backend
    server, or the server itself reported that the request did not run.
*/
enum class verdict : std::uint8_t
{
    not_run,
    may_have_run,
    answered
};

/// Why a request was refused or ended without an answer.
enum class refusal_reason : std::uint8_t
{
    none,
    bad_request,
    unknown_servable,
    unknown_service,
    deadline,           ///< it can't start before its deadline
    queue_full,         ///< a queue or memory limit is reached
    displaced,          ///< replaced in the queue by a more urgent request
    caller_limit,       ///< the caller exceeds its own limits
    no_capacity,        ///< no replica, and none can be decided now
    log_unavailable,    ///< nothing can be decided while the log is unavailable
    claim_held,         ///< another call holds the idempotency key
    claim_expired,      ///< the key is older than the claim horizon
    blocked,            ///< the request has crashed backend servers
    draining,           ///< this router is shutting down
    backend_failed,     ///< the backend server failed
    backend_timeout,    ///< the backend server made no progress in time
    retries_exhausted,  ///< the retry budget is empty
    stream_cut,         ///< a stream broke off and can't be resumed
    key_reused,         ///< the idempotency key was used for other content
    unknown_key,        ///< no organisation has the caller's API key
    organisation_limit, ///< the organisation has reached its limit
    unknown_origin,     ///< what began the stream isn't known, or is gone
    outdated            ///< this router lacks a configuration that others have
};

/// @return The word used in headers and problem documents: `not-run`, ...
constexpr std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not-run";
    case verdict::may_have_run:
        return "may-have-run";
    case verdict::answered:
        return "answered";
    }
    return "unknown";
}

/// @return The word used in problem documents, metrics and logs.
constexpr std::string_view to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::none:
        return "none";
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::unknown_servable:
        return "unknown_servable";
    case refusal_reason::unknown_service:
        return "unknown_service";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::displaced:
        return "displaced";
    case refusal_reason::caller_limit:
        return "caller_limit";
    case refusal_reason::no_capacity:
        return "no_capacity";
    case refusal_reason::log_unavailable:
        return "log_unavailable";
    case refusal_reason::claim_held:
        return "claim_held";
    case refusal_reason::claim_expired:
        return "claim_expired";
    case refusal_reason::blocked:
        return "blocked";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::backend_failed:
        return "backend_failed";
    case refusal_reason::backend_timeout:
        return "backend_timeout";
    case refusal_reason::retries_exhausted:
        return "retries_exhausted";
    case refusal_reason::stream_cut:
        return "stream_cut";
    case refusal_reason::key_reused:
        return "key_reused";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::organisation_limit:
        return "organisation_limit";
    case refusal_reason::unknown_origin:
        return "unknown_origin";
    case refusal_reason::outdated:
        return "outdated";
    }
    return "unknown";
}

/// Priority of a request. Lower values are served first.
enum class priority : std::uint8_t
{
    urgent,
    normal,
    batch
};

/// @return `urgent`, `normal` or `batch`.
constexpr std::string_view to_string(priority value)
{
    switch (value)
    {
    case priority::urgent:
        return "urgent";
    case priority::normal:
        return "normal";
    case priority::batch:
        return "batch";
    }
    return "unknown";
}

} // namespace roseworks
