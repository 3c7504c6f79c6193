#pragma once

#include "adapters/forward/header_names.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/// Status line and headers of a backend server's response.
using response_head = boost::beast::http::response_header<>;

/// @return Whether the response states that the request did not run.
bool is_not_run_refusal(const response_head& head, const header_names& names);

/// Where a response comes from.
enum class response_source : std::uint8_t
{
    server,       ///< the server that the request was meant for
    other_server, ///< another one, which has its address now
    unknown
};

/// @param instance  id of the server that the request was meant for.
/// @param is_engine An engine also responds 421 if it lacks the model.
response_source source_of(
    const response_head& head,
    const header_names& names,
    std::string_view instance,
    bool is_engine);

/// @return Whether the body is a stream of server-sent events.
bool is_event_stream(const response_head& head);

/// @return The status line and the forwarded headers. Hop-by-hop headers and
///         those meant only for the router are left out.
std::string
serialize_head(const response_head& head, const header_names& names);

} // namespace roseworks::forward
