#pragma once

#include "standins/common/exchange.hpp"

#include <string>

namespace roseworks::standins
{

/// Sends one GET on a connection of its own.
///
/// @param endpoint the server.
/// @param target   path and query.
/// @return         the HTTP status, 0 when there was no whole answer.
asio::awaitable<unsigned>
get_status(asio::ip::tcp::endpoint endpoint, std::string target);

/// Encodes a text for use as one path segment.
std::string encode_segment(std::string_view text);

} // namespace roseworks::standins
