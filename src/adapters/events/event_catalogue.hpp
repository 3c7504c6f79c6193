#pragma once

#include "ports/event_sink.hpp"

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string_view>

namespace roseworks::events
{

/// The documentation of one kind of event.
struct event_entry
{
    event_id id;
    event_level level;
    std::string_view name;
    /// What happened, in one or more sentences.
    std::string_view text;
    /// The names of the fields that the event may carry, separated by ", ".
    std::string_view fields;
    /// The action recommended to the operator.
    std::string_view remedy;

    /// @return the number printed after `RW`.
    constexpr std::uint16_t number() const
    {
        return static_cast<std::uint16_t>(this->id);
    }

    /// @return whether `fields` lists the field.
    bool has_field(std::string_view field) const;
};

/// @return all events, in ascending order of their numbers.
std::span<const event_entry> catalogue();

/// @return the entry of an event; null if the event is not in the catalogue.
const event_entry* find_entry(event_id id);

/// @return `debug`, `info`, `warn` or `error`.
std::string_view to_string(event_level level);

/// Writes the contents of docs/EVENTS.md.
void write_catalogue(std::ostream& out);

} // namespace roseworks::events
