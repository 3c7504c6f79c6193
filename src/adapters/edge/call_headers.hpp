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

/// The headers that say how a call wants to be served.
struct call_headers
{
    std::string request_id; ///< empty: the caller sent none
    std::chrono::milliseconds deadline{};
    std::optional<priority> asked; ///< empty: the caller's class
    std::string caller = "anonymous";
    std::string idempotency_key; ///< empty: none
    stamp_ms key_issued = 0;     ///< caller's clock; 0: not told
};

/// Reads the headers of docs/INTERFACES.md. Each may come once at most.
/// @param fields           the header.
/// @param default_deadline taken when `X-Deadline-Ms` is missing.
/// @param max_deadline     the longest that may be asked for.
/// @return                 the values; `call_problem` with 400 which names the
///                         header and what it takes.
boost::leaf::result<call_headers> parse_call_headers(
    const boost::beast::http::fields& fields,
    std::chrono::milliseconds default_deadline,
    std::chrono::milliseconds max_deadline);

} // namespace roseworks::edge
