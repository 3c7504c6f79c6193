#pragma once

#include "adapters/edge/call_problem.hpp"
#include "adapters/edge/caller_connection.hpp"

#include <roseworks/verdict.hpp>

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace roseworks::edge
{

/// The properties of a request that its response depends on.
struct response_context
{
    std::string request_id;
    unsigned version = 11;
    bool keep_alive = false;
};

/// Sets the headers of every response: the request id and the verdict.
void set_router_headers(
    http::fields& header, std::string_view request_id, verdict outcome);

/// Copies the headers of a backend server's response, except hop-by-hop headers
/// and those that the router sets itself.
void copy_end_to_end_headers(const http::fields& from, http::fields& to);

/// @return A complete response with the headers that every response has.
buffered_response make_response(
    const response_context& context,
    unsigned status,
    std::string_view content_type,
    std::string body,
    verdict outcome = verdict::answered);

/// @return A response with the problem document as its body.
buffered_response make_problem_response(
    const response_context& context, const call_problem& problem);

} // namespace roseworks::edge
