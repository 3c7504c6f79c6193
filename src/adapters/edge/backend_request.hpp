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

/// A request to a backend server; borrows the call's body.
using backend_request = http::request<http::span_body<const char>>;

/// @param call    the call; has to outlive the request.
/// @param address the backend server's, for `Host`.
/// @param left    time until the call's deadline.
/// @return        what is sent to the backend server.
backend_request make_backend_request(
    const prepared_call& call, const std::string& address, duration left);

/// @return Whether the header announces server-sent events.
bool is_event_stream(const http::fields& header);

/// @return Whether an engine's answer says that nothing ran.
bool says_not_run(unsigned status, std::string_view body);

/// @return Whether an engine's answer says that a cancel stopped the run.
bool says_stopped(unsigned status, std::string_view body);

} // namespace roseworks::edge
