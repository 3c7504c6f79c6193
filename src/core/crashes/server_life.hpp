#pragma once

#include <roseworks/ids.hpp>

#include <cstdint>
#include <string_view>

namespace roseworks
{

/// One life of a backend server, from its start to its end: a hash of its id
/// and its start time, the same on all routers.
using server_life = strong_id<struct server_life_tag, std::uint64_t>;

/// @param server  Id of the server's registry entry.
/// @param born_ms Its start time, milliseconds since the Unix epoch.
server_life life_of(std::string_view server, std::int64_t born_ms);

} // namespace roseworks
