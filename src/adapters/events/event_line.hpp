#pragma once

#include "adapters/events/line_format.hpp"
#include "ports/event_sink.hpp"

#include <string>
#include <string_view>

namespace roseworks::events
{

/// Formats an event without its time: as text from the VM's name on, as JSON
/// the members of the object without its braces. The result has no line break
/// and is valid UTF-8, whatever the values hold.
std::string
format_event(line_format format, std::string_view vm, const event_record&);

/// @return the level in the catalogue; `error` for an event not in it.
event_level level_of(event_id id);

} // namespace roseworks::events
