#pragma once

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/caller_connection.hpp"

#include <roseworks/verdict.hpp>

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace roseworks::edge
{

/// What an answer has to know of its request.
struct answer_frame
{
    std::string request_id;
    unsigned version = 11;
    bool keep_alive = false;
};

/// Sets what every answer carries: the request's id and the verdict.
void stamp(http::fields& header, std::string_view request_id, verdict outcome);

/// Copies a backend server's header without what belongs to its connection
/// or is the router's to say.
void copy_end_to_end(const http::fields& from, http::fields& to);

/// @return A whole answer, stamped.
whole_answer make_answer(
    const answer_frame& frame,
    unsigned status,
    std::string_view content_type,
    std::string body,
    verdict outcome = verdict::answered);

/// @return The answer with a problem's document.
whole_answer
make_refusal(const answer_frame& frame, const call_problem& problem);

} // namespace roseworks::edge
