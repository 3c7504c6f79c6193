#pragma once

#include "adapters/events/line_format.hpp"
#include "ports/event_sink.hpp"

#include <string>
#include <string_view>

namespace roseworks::events
{

/// Formats an event without its time. The text format starts at the VM's name;
/// the JSON format has the members of the object without the enclosing braces.
/// The result contains no line break and is valid UTF-8 for any field values.
std::string
format_event(line_format format, std::string_view vm, const event_record&);

/// @return the event's level in the catalogue; `error` if it is not listed.
event_level level_of(event_id id);

} // namespace roseworks::events
