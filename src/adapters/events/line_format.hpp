#pragma once

#include <cstdint>

namespace roseworks::events
{

/// How an event is written: as text such as `RW1203 lease_lapsed engine=e1`, or
/// as one JSON object per line.
enum class line_format : std::uint8_t
{
    text,
    json
};

} // namespace roseworks::events
