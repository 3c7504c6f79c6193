#pragma once

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <string>
#include <string_view>

namespace roseworks::edge
{

/// Why a call gets no answer from a backend server: the content of the
/// problem document, and the error object of the edge's parsers.
struct call_problem
{
    unsigned status = 400;
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::bad_request;
    std::string title;
    std::string detail;     ///< left out of the document when empty
    duration retry_after{}; ///< left out when zero
    std::string holder;     ///< outcome of the call that holds the claim
};

/// @param detail what is wrong, naming the header or member.
/// @param status a 4xx or 5xx status.
/// @return       the problem of a call that can't be taken; it did not run.
call_problem bad_call(std::string detail, unsigned status = 400);

/// @return The problem with the status and title that belong to a reason.
call_problem
make_problem(refusal_reason reason, verdict outcome, duration retry_after = {});

/// @param problem    the problem.
/// @param request_id the call's id.
/// @return           the `application/problem+json` document.
std::string
to_document(const call_problem& problem, std::string_view request_id);

} // namespace roseworks::edge
