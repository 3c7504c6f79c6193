#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/leaf/result.hpp>

namespace roseworks::edge
{

/// Rejects heads on which two servers could disagree about where the request
/// ends (request smuggling): more than one `Content-Length`, one that is not
/// plain digits, `Content-Length` with `Transfer-Encoding`, any
/// `Transfer-Encoding` except a single `chunked`, `Transfer-Encoding` in
/// HTTP/1.0, a `Host` that occurs more than once, and a missing `Host` in
/// HTTP/1.1.
/// @param fields  The request headers.
/// @param version HTTP version: 10 or 11.
/// @return        `call_problem` with 400.
boost::leaf::result<void>
check_framing(const boost::beast::http::fields& fields, unsigned version);

} // namespace roseworks::edge
