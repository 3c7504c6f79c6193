#pragma once

#include "adapters/edge/caller_connection.hpp"
#include "adapters/forward/header_dialect.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace roseworks::forward
{

/// A caller's request, whole and checked.
struct forward_request
{
    std::string method;
    std::string target; ///< path and query, as sent
    std::string host;
    std::string id;         ///< empty: the caller gave none
    std::string model;      ///< model or model/adapter; empty: none
    std::string caller_has; ///< last event of a stream that the caller has
    std::string header; ///< lines that are forwarded, each with its line end
    /// Lines with the caller's credentials: forwarded only where callers need
    /// no key.
    std::string credentials;
    std::string key; ///< API key; empty: none, or more than one
    std::optional<std::uint64_t> tokens; ///< of the prompt and the answer
    std::string body;
    std::optional<std::chrono::milliseconds> deadline; ///< the caller's
    unsigned version = 11;
    bool keep_alive = true;
    bool head_only = false; ///< a HEAD request
    instant arrived;

    /// @return What tells this request from others of its route when it comes
    ///         again: its method, target, model and body.
    fingerprint content() const;
};

/// Takes a parsed request apart. Headers of one connection and headers that
/// are the system's to set are left out.
forward_request make_forward_request(
    edge::caller_parser& parser, const header_dialect& names, instant now);

/// What is set for one attempt at a backend server.
struct attempt_headers
{
    std::chrono::milliseconds deadline{}; ///< what is left now
    std::string_view instance;            ///< run that may take it
    std::optional<unsigned> priority;     ///< engines only
    std::string_view last_event; ///< of a stream that goes on; empty: none
    std::string_view organisation = {}; ///< that holds the key; empty: none
    bool with_credentials = false;      ///< the caller's are passed on
};

/// @return The bytes of the request for a backend server, body included.
std::string make_backend_bytes(
    const forward_request& request,
    const header_dialect& names,
    const attempt_headers& attempt);

} // namespace roseworks::forward
