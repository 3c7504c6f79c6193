#pragma once

#include "adapters/forward/header_dialect.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace roseworks::forward
{

/// The head of a backend server's answer.
using answer_head = boost::beast::http::response_header<>;

/// @return Whether the server says that it didn't run the request.
bool says_not_run(const answer_head& head, const header_dialect& names);

/// @return Whether the body is a stream of server-sent events.
bool is_event_stream(const answer_head& head);

/// @return The status line and the headers that are passed on: without those
///         of the server's connection and those that only we read.
std::string head_lines(const answer_head& head, const header_dialect& names);

} // namespace roseworks::forward
