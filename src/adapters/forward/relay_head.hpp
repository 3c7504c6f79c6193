#pragma once

#include "adapters/forward/header_dialect.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace roseworks::forward
{

/// Status line and headers of a backend server's response.
using answer_head = boost::beast::http::response_header<>;

/// @return Whether the response states that the request did not run.
bool says_not_run(const answer_head& head, const header_dialect& names);

/// @return Whether the body is a stream of server-sent events.
bool is_event_stream(const answer_head& head);

/// @return The status line and the forwarded headers. Hop-by-hop headers and
///         those meant only for the router are left out.
std::string head_lines(const answer_head& head, const header_dialect& names);

} // namespace roseworks::forward
