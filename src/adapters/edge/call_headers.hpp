#pragma once

#include <roseworks/instant.hpp>
#include <roseworks/verdict.hpp>

#include <boost/beast/http/fields.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace roseworks::edge
{

/// The request headers that control how a call is served.
struct call_headers
{
    std::string request_id; ///< empty: the caller sent none
    std::chrono::milliseconds deadline{};
    std::optional<priority>
        requested_priority; ///< empty: the highest the caller may use
    std::string caller = "anonymous";
    std::string idempotency_key; ///< empty: none
    stamp_ms key_issued = 0;     ///< by the caller's clock; 0: not sent
};

/// Parses the headers of docs/INTERFACES.md. Each may occur at most once.
/// @param fields           The request headers.
/// @param default_deadline Used if `X-Deadline-Ms` is missing.
/// @param max_deadline     Maximum of `X-Deadline-Ms`.
/// @return                 The values; `call_problem` with 400, whose detail
///                         names the header and its valid values.
boost::leaf::result<call_headers> parse_call_headers(
    const boost::beast::http::fields& fields,
    std::chrono::milliseconds default_deadline,
    std::chrono::milliseconds max_deadline);

} // namespace roseworks::edge
