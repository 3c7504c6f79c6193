#pragma once

#include <cstdint>

namespace roseworks::events
{

/// How an event is written: `RW1203 lease_lapsed engine=e1`, or one JSON
/// object a line.
enum class line_format : std::uint8_t
{
    text,
    json
};

} // namespace roseworks::events
