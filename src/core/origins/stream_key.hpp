#pragma once

#include <roseworks/ids.hpp>

#include <cstdint>
#include <string_view>

namespace roseworks
{

/// Identifies a stream: a hash of the request that began it, the same on all
/// routers. The value 0 means "none".
using stream_key = strong_id<struct stream_key_tag, std::uint64_t>;

/// The request that began a stream. Requests that take the stream up have the
/// same fields, except that their own attempt has another id.
struct stream_request
{
    std::string_view attempt; ///< request ID; empty: none
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view model;
    std::string_view organisation; ///< empty: none
};

/// @return 0 if the request has no attempt id, or one that is too long.
stream_key key_of(const stream_request& request);

} // namespace roseworks
