#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/header_names.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::forward
{

/// A body that several attempts send at the same time; null: empty.
using shared_body = std::shared_ptr<const std::string>;

/// @return The bytes of a body.
inline std::string_view to_view(const shared_body& body)
{
    return body ? std::string_view(*body) : std::string_view();
}

/// A caller's request with valid framing.
struct forward_request
{
    std::string method;
    std::string target; ///< path and query, as sent
    std::string host;
    std::string id;                ///< empty: the caller sent none
    std::string model;             ///< model or model/adapter; empty: none
    std::string caller_last_event; ///< `Last-Event-Id` from the caller
    /// The attempt that began the stream, as the caller names it; empty: it
    /// names none, or several.
    std::string resumes;
    std::string header_lines; ///< forwarded lines, each with its line end
    /// Header lines with the caller's credentials. Forwarded only if callers
    /// need no API key.
    std::string credential_lines;
    std::string key;                     ///< API key; empty: none, or ambiguous
    std::optional<std::uint64_t> tokens; ///< sum for prompt and response
    /// Hashes of the parts of the prompt that other requests may share, in
    /// order. Any of them may crash the servers that run it.
    std::vector<fingerprint> prompt_parts;
    shared_body body;
    /// Remaining time that the caller stated; empty: none.
    std::optional<std::chrono::milliseconds> deadline;
    unsigned version = 11; ///< of HTTP, times ten
    bool keep_alive = true;
    bool head_only = false; ///< a HEAD request
    instant arrived;

    /// @return A hash of the method, target, model and body. It is the same
    ///         when the caller repeats the request.
    fingerprint content_fingerprint() const;
};

/// Converts the head of a request; its body and `arrived` stay empty. Leaves
/// out hop-by-hop headers and headers that only the router may set.
/// @param head Must not have been parsed beyond the head: trailers are no
///             headers (RFC 9110, 6.5.1), but the parser adds them to these.
forward_request make_forward_request(
    const edge::caller_parser::value_type& head, const header_names& names);

/// Headers that are set for one attempt on a backend server.
struct attempt_headers
{
    std::chrono::milliseconds deadline{}; ///< remaining time
    std::string_view instance; ///< server instance that may run the request
    std::optional<unsigned> priority;   ///< engines only
    std::string_view last_event;        ///< of a resumed stream; empty: none
    std::string_view organisation = {}; ///< that holds the API key; empty: none
    bool with_credentials = false;      ///< the caller's are forwarded
};

/// A request as sent to a backend server. The body isn't copied.
struct outgoing_request
{
    std::string head;
    shared_body body;
};

outgoing_request make_outgoing_request(
    const forward_request& request,
    const header_names& names,
    const attempt_headers& attempt);

} // namespace roseworks::forward
