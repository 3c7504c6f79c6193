#pragma once

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <string>
#include <string_view>

namespace roseworks::edge
{

/// Why a call gets no response from a backend server. It is the content of the
/// problem document (RFC 9457) and the error object of the edge's parsers.
struct call_problem
{
    unsigned status = 400;
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::bad_request;
    std::string title;
    std::string detail;     ///< omitted from the document if empty
    duration retry_after{}; ///< omitted if zero
    std::string holder;     ///< outcome of the call that holds the claim
};

/// @param detail What is invalid; names the header or member.
/// @param status A 4xx or 5xx status.
/// @return       The problem of a call that was rejected and did not run.
call_problem client_error(std::string detail, unsigned status = 400);

/// @return The problem with the status and title of a reason.
call_problem
make_problem(refusal_reason reason, verdict outcome, duration retry_after = {});

/// @return The `application/problem+json` document.
std::string
to_problem_json(const call_problem& problem, std::string_view request_id);

} // namespace roseworks::edge
