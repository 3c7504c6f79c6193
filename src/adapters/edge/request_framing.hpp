#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/leaf/result.hpp>

namespace roseworks::edge
{

/// Refuses heads on which two servers could disagree about where the request
/// ends (request smuggling): more than one `Content-Length`, one that isn't
/// plain digits, `Content-Length` with `Transfer-Encoding`, any
/// `Transfer-Encoding` but a single `chunked`, one below HTTP/1.1, and a
/// missing or doubled `Host`.
/// @param fields  the header.
/// @param version 10 or 11.
/// @return        nothing; `call_problem` with 400.
boost::leaf::result<void>
check_framing(const boost::beast::http::fields& fields, unsigned version);

} // namespace roseworks::edge
