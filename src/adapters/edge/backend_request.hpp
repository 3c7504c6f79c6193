#pragma once

#include "adapters/edge/net.hpp"
#include "adapters/edge/prepared_call.hpp"

#include <roseworks/instant.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <string>
#include <string_view>

namespace roseworks::edge
{

/// A request to a backend server. It refers to the body of the call.
using backend_request = http::request<http::span_body<const char>>;

/// @param call    The call; must outlive the request.
/// @param address Address of the backend server, for `Host`.
/// @param left    Time until the call's deadline.
/// @return        The request to send to the backend server.
backend_request make_backend_request(
    const prepared_call& call, const std::string& address, duration left);

/// @return Whether the content type is that of server-sent events.
bool is_event_stream(const http::fields& header);

/// @return Whether a response of an engine says that the request did not run.
bool reports_not_run(unsigned status, std::string_view body);

/// @return Whether a response of an engine says that a cancel stopped the run.
bool reports_cancelled(unsigned status, std::string_view body);

} // namespace roseworks::edge
